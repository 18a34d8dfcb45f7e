package conns_test

import (
	"context"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// TestOwnConnCarriesOneCall guards against a call on a connection that carried another
// one, or that carries another one afterwards.
func TestOwnConnCarriesOneCall(t *testing.T) {
	cases := []struct {
		name  string
		own   []bool
		conns int
	}{
		{"all share", []bool{false, false, false}, 1},
		{"all have their own", []bool{true, true, true}, 3},
		{"after a shared one", []bool{false, true, false}, 2},
		{"before shared ones", []bool{true, false, false}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, count := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false)
			p := &conns.Pool{Address: addr}
			for _, own := range c.own {
				req := fasthttp.AcquireRequest()
				req.SetRequestURI("/")
				req.Header.SetHost("h")
				r, err := p.Do(context.Background(), conns.Call{Request: req, OwnConn: own})
				must.NoError(t, err)
				b, err := r.ReadAll(9)
				must.NoError(t, err)
				test.Eq(t, "hi", string(b))
				r.Close()
			}
			test.Eq(t, c.conns, count())
		})
	}
}
