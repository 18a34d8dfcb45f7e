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

// logged collects log lines. It is safe for concurrent use.
type logged struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// line returns the fields of the first line with a message.
func (l *logged) line(t *testing.T, message string) map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range bytes.Split(l.b.Bytes(), []byte("\n")) {
		var m map[string]any
		if json.Unmarshal(b, &m) == nil && m["message"] == message {
			return m
		}
	}
	t.Fatalf("no line %q", message)
	return nil
}

func TestLineOfASendThatFailedTellsItsTime(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	nobody.Close()
	r := newRig(t, &endpoint{name: "e", address: nobody.Addr().String()})
	l := &logged{}
	r.server.Logger = zerolog.New(l)
	must.Eq(t, 503, r.do(request("POST", "/once/", "r1", "x")).status)
	m := l.line(t, "gate: sent")
	test.Eq(t, any("not-sent"), m["result"])
	test.LessEq(t, m["after"].(float64), m["took"].(float64))
}
