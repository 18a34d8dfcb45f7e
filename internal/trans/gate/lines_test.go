package gate

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// firstLine returns the fields of the first line with the given message.
func (l *logBuffer) firstLine(t *testing.T, message string) map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range bytes.Split(l.b.Bytes(), []byte("\n")) {
		var m map[string]any
		if json.Unmarshal(b, &m) == nil && m["message"] == message {
			return m
		}
	}
	t.Fatalf("no log line %q", message)
	return nil
}

func TestLogLineOfAFailedSendHasItsDuration(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener.Close()
	r := newRig(t, &scriptedEndpoint{name: "e", address: listener.Addr().String()})
	l := &logBuffer{}
	r.server.Logger = zerolog.New(l)
	must.Eq(t, 503, r.do(request("POST", "/once/", "r1", "x")).status)
	m := l.firstLine(t, "gate: sent")
	test.Eq(t, any("not-sent"), m["result"])
	test.LessEq(t, m["after"].(float64), m["took"].(float64))
}
