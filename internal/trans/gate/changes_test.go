package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// Guards against requests that are cut off by a configuration or a list of endpoints that
// no longer allows them: one that has been read whole is served as it was when it came.
func TestChangesDoNotCutRequestsUnderWay(t *testing.T) {
	changes := []struct {
		name   string
		change func(s *Server, c *topol.Catalog)
	}{
		{"the endpoint is gone", func(s *Server, _ *topol.Catalog) { s.Feeds.UpdateEndpoints(nil, clock.Now()) }},
		{"the service is gone", func(_ *Server, c *topol.Catalog) { clear(c.Services) }},
		{"the key is gone", func(_ *Server, c *topol.Catalog) { clear(c.Keys) }},
		{"the route's timeout is shorter", func(_ *Server, c *topol.Catalog) {
			for _, p := range []string{"/safe/", "/once/", "/stream/"} {
				c.Match("h.example", p).Timeout = time.Millisecond
			}
		}},
		{"the idle timeout is shorter", func(_ *Server, c *topol.Catalog) { c.Limits.IdleTimeout = -time.Minute }},
		{"the body limit is lower", func(_ *Server, c *topol.Catalog) { c.Limits.MaxBodyBytes = 1 }},
	}
	kinds := []struct{ target, begin, rest string }{
		{"/safe/", "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nye", "ss"},
		{"/once/", "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nye", "ss"},
		{"/stream/", streamHead + chunked(event(1)), chunked(event(2)) + lastChunk},
	}
	for _, c := range changes {
		for _, k := range kinds {
			t.Run(c.name+" "+k.target, func(t *testing.T) {
				begun, changed := make(chan struct{}), make(chan struct{})
				r := newRig(t, newEndpoint(t, "e", func(conn net.Conn, g receivedRequest) bool {
					raw(k.begin, true)(conn, g)
					close(begun)
					<-changed
					return raw(k.rest, true)(conn, g)
				}))
				conn := r.dial()
				io.WriteString(conn, request("POST", k.target, "r", "body"))
				<-begun
				catalog := testCatalog()
				catalog.Version++
				c.change(r.server, catalog)
				r.server.Feeds.UpdateCatalog(catalog)
				time.Sleep(20 * time.Millisecond)
				close(changed)
				res, err := readResponseFrom(bufio.NewReader(conn))
				must.NoError(t, err)
				must.NoError(t, res.err)
				test.Eq(t, 200, res.status)
			})
		}
	}
}

// Guards against a node that ends while it carries the request of a peer: the peer's caller
// could lose its response.
func TestStopWaitsForTunnels(t *testing.T) {
	var answered atomic.Bool
	begun, release := make(chan struct{}), make(chan struct{})
	c := newCutRig(t, newEndpoint(t, "e", func(conn net.Conn, g receivedRequest) bool {
		close(begun)
		<-release
		answered.Store(true)
		return ok("yes")(conn, g)
	}))
	c.lost.Store(true)
	conn := c.dial()
	io.WriteString(conn, request("GET", "/once/", "r", ""))
	<-begun
	c.peer.server.Drain()
	stopped := make(chan bool)
	go func() {
		c.peer.server.Stop(context.Background())
		stopped <- answered.Load()
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	res, err := readResponse(conn)
	must.NoError(t, err)
	test.Eq(t, 200, res.status)
	test.True(t, <-stopped, test.Sprint("the node waited for the answer"))
}
