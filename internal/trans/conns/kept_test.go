package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/twice"
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

// TestIdentifiedCallsGetTheirOwnAnswer guards against an answer to an earlier call that is
// taken for the one to the next call because it is next on the connection.
func TestIdentifiedCallsGetTheirOwnAnswer(t *testing.T) {
	for _, copiesIDs := range []bool{true, false} {
		t.Run(fmt.Sprintf("copies IDs: %v", copiesIDs), func(t *testing.T) {
			s := &twice.Server{CopiesIDs: copiesIDs, Answers: []twice.Answer{{Status: 200, Body: "a"}, {Status: 200, Body: "b"}, {Status: 200, Body: "c"}}}
			must.NoError(t, s.Listen())
			defer s.Close()
			p := &conns.Pool{Address: s.Address}
			var got []string
			for range 3 {
				b, err := getIdentified(p)
				if err != nil {
					test.ErrorIs(t, err, conns.ErrNoResponse)
					continue
				}
				got = append(got, b)
			}
			want := []string{"a", "b", "c"}
			if copiesIDs {
				// The second call fails, which leaves no connection to reuse.
				want = []string{"a", "c"}
			}
			test.Eq(t, want, got)
		})
	}
}

func getIdentified(p *conns.Pool) (string, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	r, err := p.Do(context.Background(), conns.Call{Request: req, Identified: true})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := r.ReadAll(9)
	return string(b), err
}

// TestConnectionsThatCopyIDsAreReused guards against a new connection for each call to a
// server that copies IDs, and against reuse without them.
func TestConnectionsThatCopyIDsAreReused(t *testing.T) {
	const calls = 3
	cases := []struct {
		name, field string
		conns       int
	}{
		{"copied", conns.CallIDField + ": %s\r\n", 1},
		{"missing", "", calls},
		{"empty", conns.CallIDField + ":\r\n", calls},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, count := serveIDs(t, c.field)
			p := &conns.Pool{Address: addr}
			for range calls {
				b, err := getIdentified(p)
				must.NoError(t, err)
				test.Eq(t, "hi", b)
			}
			test.Eq(t, c.conns, count())
		})
	}
}

// TestOtherIDIsNoAnswer guards against a response on a new connection that is known to
// belong to another call.
func TestOtherIDIsNoAnswer(t *testing.T) {
	addr, _ := serve(t, "HTTP/1.1 200 OK\r\nCall-Id: other\r\nContent-Length: 2\r\n\r\nhi", false)
	_, err := getIdentified(&conns.Pool{Address: addr})
	test.ErrorIs(t, err, conns.ErrNoResponse)
}

// serveIDs starts a server whose responses have the given field, in which the ID of the
// call takes the place of a verb. It returns the address and a function that counts the
// connections so far.
func serveIDs(t *testing.T, field string) (addr string, count func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go answerWithIDs(c, field)
		}
	}()
	return l.Addr().String(), func() int { return int(accepted.Load()) }
}

func answerWithIDs(c net.Conn, field string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		line := strings.Replace(field, "%s", req.Header.Get(conns.CallIDField), 1)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", line)
	}
}
