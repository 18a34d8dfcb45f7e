package gate

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against callers whose connection beyond the bound is closed without a response:
// they don't know that another node would serve them at once.
func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		request string
		refused bool
	}{
		{"request", request("GET", "/safe/", "r", ""), true},
		{"long body", request("POST", "/once/", "r", strings.Repeat("x", 100<<10)), true},
		{"no request", "", false},
		{"part of a request", "GET /safe/ HTTP/1.1\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", ok("yes"))
			r := newRig(t, e)
			r.server.openConns.Add(maxConns)
			t.Cleanup(func() { r.server.openConns.Add(-maxConns) })
			conn := r.dial()
			go io.WriteString(conn, c.request)
			res, err := readResponse(conn)
			if !c.refused {
				test.Error(t, err)
				return
			}
			must.NoError(t, err)
			test.Eq(t, 503, res.status)
			test.NotEq(t, "", res.header.Get("Retry-After"))
			test.True(t, res.closesConn)
			test.Len(t, 0, e.requests())
		})
	}
}

// Guards against refusals that need more descriptors than there are.
func TestRefusalsAreBounded(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", ok("yes")))
	r.server.openConns.Add(maxConns)
	t.Cleanup(func() { r.server.openConns.Add(-maxConns) })
	r.server.refusedConns.Add(maxRefusedConns)
	t.Cleanup(func() { r.server.refusedConns.Add(-maxRefusedConns) })
	_, err := readResponse(r.dial())
	test.Error(t, err)
	for counterValue(t, r.server, "laburnum_connections_closed_total", string(closeTooMany), "false") == 0 {
		time.Sleep(time.Millisecond)
	}
	test.Eq(t, maxRefusedConns, r.server.refusedConns.Load())
}
