package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/gate"
	"laburnumstack.org/laburnum/pkg/ident"
)

// drainRig is a node without endpoints, whose callers get status 503.
type drainRig struct {
	node    *Node
	address string
	stop    context.CancelFunc
	ended   chan struct{}
}

func newDrainRig(t *testing.T, gracePeriod time.Duration) *drainRig {
	n := &Node{Settings: Settings{Name: "n", GracePeriod: gracePeriod}, Source: unreachableSource{}, Logger: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	n.build(ctx)
	l, err := gate.Listen(ctx, "127.0.0.1:0")
	must.NoError(t, err)
	stop, stopNow := context.WithCancel(ctx)
	r := &drainRig{node: n, address: l.Addr().String(), stop: stopNow, ended: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		n.gate.Run(ctx, l)
		close(served)
	}()
	go func() {
		n.drain(ctx, stop)
		cancel()
		<-served
		close(r.ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	return r
}

func (r *drainRig) setIdleTimeout(d time.Duration, version ident.Version) {
	limits := topol.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: d}
	r.node.feeds.UpdateCatalog(&topol.Catalog{Version: version, Limits: limits})
}

const testRequest = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// Guards against a drain that ends while a request is being read, or while a caller may
// still reuse its connection: the request would be lost.
func TestDrainWaitsForCallers(t *testing.T) {
	cases := []struct {
		name string
		// use prepares a connection before the stop signal, useLate uses it until more
		// than minDrainTime has passed. The rest of a request follows.
		use, useLate func(r *drainRig, c net.Conn, br *bufio.Reader)
		rest         string
	}{
		{"a request of which a part has arrived", func(*drainRig, net.Conn, *bufio.Reader) {}, func(_ *drainRig, c net.Conn, _ *bufio.Reader) {
			time.Sleep(minDrainTime - time.Second)
			io.WriteString(c, testRequest[:10])
			time.Sleep(1500 * time.Millisecond)
		}, testRequest[10:]},
		{"the idle timeout is lengthened during the drain", func(_ *drainRig, c net.Conn, br *bufio.Reader) {
			io.WriteString(c, testRequest)
			http.ReadResponse(br, nil)
		}, func(r *drainRig, _ net.Conn, _ *bufio.Reader) {
			time.Sleep(500 * time.Millisecond)
			r.setIdleTimeout(time.Minute, 2)
			time.Sleep(minDrainTime)
		}, testRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newDrainRig(t, time.Minute)
			r.setIdleTimeout(3*time.Second, 1)
			conn, err := net.Dial("tcp", r.address)
			must.NoError(t, err)
			defer conn.Close()
			br := bufio.NewReader(conn)
			c.use(r, conn, br)
			r.stop()
			c.useLate(r, conn, br)
			io.WriteString(conn, c.rest)
			res, err := http.ReadResponse(br, nil)
			must.NoError(t, err)
			test.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
			test.True(t, res.Close)
			<-r.ended
		})
	}
}
