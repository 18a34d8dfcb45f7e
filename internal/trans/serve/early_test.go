package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against an invalid status, or a part of an answer, that a caller gets as the answer
// of a service, and against one that is stored for the repetitions of a booking.
func TestBrokenAnswersOfServicesAreNoAnswers(t *testing.T) {
	cases := []struct {
		text  string
		reset bool
	}{
		{"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false},
		{"HTTP/1.1 200 OK\r\n\r\nhi", true},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true},
		{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nhi", false},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			name := fmt.Sprintf("%q, reset %v, idempotent %v", c.text, c.reset, idempotent)
			rig := newPlainRig(t, confg.Limits{RetryPercent: 100, BodyBytes: 100}, "")
			rig.answerWith(t, c.text, c.reset)
			p, err := rig.run(idempotent)
			must.Error(t, err, must.Sprint(name))
			test.Nil(t, p, test.Sprint(name))
			f := AsFailure(err)
			test.Eq(t, 502, f.Status, test.Sprint(name))
			test.Eq(t, ident.Unknown, f.Outcome, test.Sprint(name))
			if !idempotent {
				test.Eq(t, 1, rig.calls.Load(), test.Sprint(name))
			}
		}
	}
}

// answerWith replaces the endpoints by ones that write a text and end the connection.
func (p *plainRig) answerWith(t *testing.T, text string, reset bool) {
	d := &confg.Document{Limits: p.table.Document.Limits, Endpoints: map[ident.EndpointName]confg.Endpoint{}}
	for _, n := range []ident.EndpointName{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			p.calls.Add(1)
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			io.WriteString(c, text)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}))
		t.Cleanup(s.Close)
		d.Endpoints[n] = confg.Endpoint{Address: s.Listener.Addr().String()}
	}
	p.setTable(d)
}
