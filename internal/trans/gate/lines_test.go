package gate

import (
	"bytes"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/lab/jumps"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
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

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
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
	l := &logBuffer{}
	r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(l) }, &scriptedEndpoint{name: "e", address: listener.Addr().String()})
	must.Eq(t, 503, r.do(request("POST", "/once/", "r1", "x")).status)
	m := l.firstLine(t, "gate: sent")
	test.Eq(t, any("not-sent"), m["result"])
	test.LessEq(t, m["after"].(float64), m["took"].(float64))
}

// The log line and the metrics of a rejected prompt tell its size, the reason and
// the load. A refused reservation is not reported like engines that are full.
func TestRejectedPromptsAreReportedBySizeAndReason(t *testing.T) {
	cases := []struct {
		why    string
		prompt string
		length string
		// filled is set if the engines' memory is in use.
		filled bool
		// returns is set if the caller is told when to come back.
		returns bool
	}{
		{why: errUnreserved.Error(), prompt: "150000", length: "256k", returns: true},
		{why: place.ErrFull.Error(), prompt: "50000", length: "128k", filled: true, returns: true},
		{why: place.ErrTooLarge.Error(), prompt: "250000", length: "256k"},
	}
	for _, tc := range cases {
		e := newEndpoint(t, "a", streams(1, 2, true))
		es := []*scriptedEndpoint{e}
		for _, n := range []string{"b", "c", "d", "e", "f"} {
			es = append(es, e.alias(n))
		}
		l := &logBuffer{}
		r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(l) }, es...)
		for _, e := range es {
			r.reserver.full[e.name+"m"] = true
			if tc.filled {
				r.server.InFlight.Put(works.Request{Node: "n2", ID: works.ID(len(r.server.InFlight.All())), First: ident.EndpointName(e.name + "m"), Share: 90_000, Writing: true})
			}
		}
		res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: "+tc.prompt))
		must.Eq(t, 503, res.status)
		test.Eq(t, tc.returns, res.header.Get("Retry-After") != "", test.Sprint(tc.why))
		m := l.firstLine(t, "gate: refused")
		test.Eq(t, any(tc.why), m["why"])
		for _, field := range []string{"prompt", "backlog", "loss", "maxLoss", "retryAfter", "waited"} {
			test.MapContainsKey(t, m, field)
		}
		test.Eq(t, 1, counterValue(t, r.server, "laburnum_rejections_total", tc.length, tc.why))
		test.Eq(t, 1, counterValue(t, r.server, "laburnum_prompts_total", tc.length, "503"))
	}
}

// counterValue returns the value of a server's counter with the given values
// among those of its labels.
func counterValue(t testing.TB, s *Server, name string, values ...string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	s.Register(registry)
	families, err := registry.Gather()
	must.NoError(t, err)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			var found []string
			for _, p := range m.GetLabel() {
				if slices.Contains(values, p.GetValue()) {
					found = append(found, p.GetValue())
				}
			}
			if len(found) == len(values) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against more lines than are allowed in a second since the time of day jumps in it.
func TestStepsOfTheTimeOfDayAllowNoFurtherLines(t *testing.T) {
	var l logLimiter
	now := time.Now()
	allowed := 0
	for i := range 2 * maxFailureLines {
		if ok, _ := l.allow(false, jumps.Step(now, i%3)); ok {
			allowed++
		}
	}
	test.Eq(t, maxFailureLines, allowed)
	ok, omitted := l.allow(false, now.Add(time.Second))
	test.True(t, ok)
	test.Eq(t, maxFailureLines, omitted)
}
