package gate

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against callers who lose a request since the node closes their connection after a
// response that was written before the drain, without a word.
func TestDrainClosesNoConnectionUnannounced(t *testing.T) {
	const rounds, callers = 20, 8
	cases := []struct {
		name   string
		target string
		script script
	}{
		{"plain", "/safe/", ok("yes")},
		{"stream", "/stream/", streams(1, 2, true)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range rounds {
				r := newRig(t, newEndpoint(t, "e", c.script))
				var wg sync.WaitGroup
				for range callers {
					conn := r.dial()
					wg.Go(func() { callUntilClose(t, conn, c.target) })
				}
				time.Sleep(15 * time.Millisecond)
				r.server.Drain()
				wg.Wait()
			}
		})
	}
}

// callUntilClose sends one request after the other until a response announces that the
// connection is closed. All must get a response.
func callUntilClose(t *testing.T, c net.Conn, target string) {
	br := bufio.NewReader(c)
	for {
		io.WriteString(c, request("GET", target, "r", ""))
		res, err := readResponseFrom(br)
		test.NoError(t, err, test.Sprint("request without a response"))
		if err != nil || res.closesConn {
			return
		}
	}
}

// Guards against a connection that is closed after a response whose header was written
// before the drain: the caller's next request would be lost.
func TestResponseBegunBeforeDrainKeepsItsConnection(t *testing.T) {
	cases := []struct {
		name   string
		target string
		// begin and end are what the endpoint sends before and after the drain begins.
		begin, end string
		// headerFirst is set if the caller gets the header before the drain.
		headerFirst bool
	}{
		{"stream", "/stream/", streamHead + chunked(event(1)), chunked(event(2)) + lastChunk, true},
		{"stream without an event", "/stream/", streamHead, chunked(event(1)) + lastChunk, false},
		{"plain", "/safe/", "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nye", "ss", false},
		{"error that is passed on", "/once/", "HTTP/1.1 500 Failed\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noo", "ps", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begun, drained := make(chan struct{}), make(chan struct{})
			r := newRig(t, newEndpoint(t, "e", func(conn net.Conn, g receivedRequest) bool {
				raw(c.begin, true)(conn, g)
				close(begun)
				<-drained
				return raw(c.end, true)(conn, g)
			}, ok("next")))
			conn := r.dial()
			br := bufio.NewReader(conn)
			io.WriteString(conn, request("GET", c.target, "r1", ""))
			<-begun
			if c.headerFirst {
				_, err := br.Peek(1)
				must.NoError(t, err)
			}
			r.server.Drain()
			close(drained)
			first, err := readResponseFrom(br)
			must.NoError(t, err)
			must.NoError(t, first.err)
			test.Eq(t, !c.headerFirst, first.closesConn)
			if !c.headerFirst {
				return
			}
			io.WriteString(conn, request("GET", "/safe/", "r2", ""))
			next, err := readResponseFrom(br)
			must.NoError(t, err)
			test.Eq(t, 200, next.status)
			test.True(t, next.closesConn)
		})
	}
}

// Guards against an endpoint's refusal that is kept while another send is weighed, and then
// written with the decision of that time although the drain has begun.
func TestKeptResponseAnnouncesTheClose(t *testing.T) {
	var s *Server
	r := newConfiguredRig(t, 0, func(server *Server) {
		s = server
		server.Budget = Budget{Window: time.Second}
		server.NodeCount = func() int {
			s.Drain()
			return 1
		}
	}, newEndpoint(t, "e1", refuses(503)), newEndpoint(t, "e2", refuses(503)))
	res := r.do(request("GET", "/safe/", "r", ""))
	test.Eq(t, 503, res.status)
	test.True(t, res.closesConn)
}
