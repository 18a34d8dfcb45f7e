package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
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

// stop stops the server as a node does at the end of a drain.
func (r *rig) stop() {
	r.server.Stop(context.Background())
	r.cancel()
}

// Guards against requests that are lost since they arrive between the last look at the
// requests in flight and the end of the process.
func TestStopServesRequestsThatHaveArrived(t *testing.T) {
	const callers = 200
	cases := []struct {
		name string
		// before and after are sent before and after the stop begins.
		before, after string
	}{
		{"whole request", request("GET", "/none/", "r", ""), ""},
		{"part of a header", request("GET", "/none/", "r", "")[:1], request("GET", "/none/", "r", "")[1:]},
		{"header, body follows", "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: r\r\nKey: secret\r\nContent-Length: 5\r\n\r\n", "hello"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, newEndpoint(t, "e", ok("yes")))
			var conns []net.Conn
			for range callers {
				conns = append(conns, r.dial())
			}
			for r.server.openConns.Load() < callers {
				time.Sleep(time.Millisecond)
			}
			r.server.Drain()
			for _, conn := range conns {
				io.WriteString(conn, c.before)
			}
			stopped := make(chan struct{})
			go func() {
				r.stop()
				close(stopped)
			}()
			for _, conn := range conns {
				io.WriteString(conn, c.after)
				res, err := readResponse(conn)
				must.NoError(t, err)
				// No route matches, so that no endpoint takes part.
				test.Eq(t, 404, res.status)
				test.True(t, res.closesConn)
			}
			<-stopped
		})
	}
}

// Guards against a drain that ends while the node connects to an endpoint for a peer, whose
// request goes over the connection.
func TestConnectingForPeerCountsAsInFlight(t *testing.T) {
	for _, failure := range []error{nil, errors.New("unreachable")} {
		e := newEndpoint(t, "e", ok("yes"))
		counts := make(chan int, 1)
		var s *Server
		newConfiguredRig(t, 0, func(server *Server) {
			s = server
			hasPeer("n2")(s)
			s.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				counts <- s.InFlightCount()
				if failure != nil {
					return nil, failure
				}
				return links.Dial(ctx, address)
			}
		}, e)
		c, err := s.ConnectForPeer(context.Background(), tunnel.Request{From: "n2", Endpoint: "ep", Address: e.address})
		test.Eq(t, failure == nil, err == nil)
		test.Eq(t, 1, <-counts)
		if failure == nil {
			test.Eq(t, 1, s.InFlightCount())
			c.Close()
		}
		test.Eq(t, 0, s.InFlightCount())
	}
}

// Guards against a drain that ends while a caller may still use its connection, counted from
// its last response and by the idle timeout in force.
func TestMayStopOnlyWhenNoCallerWouldUseItsConnection(t *testing.T) {
	cases := []struct {
		name    string
		request string
		idle    time.Duration
		after   time.Duration
		inUse   bool
		want    bool
	}{
		{"no request yet", "", 10 * time.Second, 7 * time.Second, false, false},
		{"never a request", "", 10 * time.Second, 9 * time.Second, false, true},
		{"served a moment ago", request("GET", "/safe/", "r", ""), 10 * time.Second, 7 * time.Second, false, false},
		{"served long ago", request("GET", "/safe/", "r", ""), 10 * time.Second, 9 * time.Second, false, true},
		{"served long ago, the timeout has been lengthened", request("GET", "/safe/", "r", ""), time.Minute, 9 * time.Second, false, false},
		{"request under way", request("GET", "/stream/", "r", ""), 10 * time.Second, time.Hour, true, false},
		{"part of a request", "GET", 10 * time.Second, time.Hour, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, newEndpoint(t, "e", func(conn net.Conn, g receivedRequest) bool {
				if string(g.head.Target) == "/stream/" {
					return neverResponds(conn, g)
				}
				return ok("yes")(conn, g)
			}))
			conn := r.dial()
			io.WriteString(conn, c.request)
			if strings.Contains(c.request, "/safe/") {
				_, err := readResponse(conn)
				must.NoError(t, err)
			}
			for !r.server.hasConn(c.inUse) {
				time.Sleep(time.Millisecond)
			}
			r.setLimits(func(l *topol.Limits) { l.IdleTimeout = c.idle })
			test.Eq(t, c.want, r.server.MayStop(time.Now().Add(c.after)))
		})
	}
}

// hasConn reports whether there is a connection that is in use, or one that is idle.
func (s *Server) hasConn(inUse bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		idle := c.isIdle
		c.mu.Unlock()
		if idle != inUse {
			return true
		}
	}
	return false
}
