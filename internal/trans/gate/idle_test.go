package gate

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// setLimits puts a configuration with other limits in force.
func (r *rig) setLimits(change func(*topol.Limits)) {
	catalog := testCatalog()
	catalog.Version = r.server.Feeds.Catalog().Version + 1
	catalog.Limits = r.server.Feeds.Catalog().Limits
	change(&catalog.Limits)
	r.server.Feeds.UpdateCatalog(catalog)
}

// newIdleRig returns a rig with an idle timeout of 300 ms, and a function that sends a request on
// a connection that stays open between its calls.
func newIdleRig(t *testing.T) (r *rig, get func()) {
	r = newRig(t, newEndpoint(t, "e", ok("yes")))
	r.setLimits(func(l *topol.Limits) { l.IdleTimeout = 300 * time.Millisecond })
	c := r.dial()
	br := bufio.NewReader(c)
	return r, func() {
		io.WriteString(c, request("GET", "/safe/", "r", ""))
		res, err := readResponseFrom(br)
		must.NoError(t, err)
		test.Eq(t, 200, res.status)
	}
}

// Guards against connections that are closed by the idle timeout of an earlier
// configuration: callers reuse them as long as the one in force allows.
func TestLongerIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	r, get := newIdleRig(t)
	get()
	time.Sleep(100 * time.Millisecond)
	r.setLimits(func(l *topol.Limits) { l.IdleTimeout = 20 * time.Second })
	time.Sleep(2 * time.Second)
	get()
}

// Guards against connections that are closed by the idle timeout of an earlier configuration
// since this node hears of the new one later than callers do.
func TestIdleConnectionsStayOpenUntilTheConfigurationIsKnown(t *testing.T) {
	_, get := newIdleRig(t)
	get()
	time.Sleep(300*time.Millisecond + staleAfter - 500*time.Millisecond)
	get()
}

// Guards against limits that are taken when a connection becomes idle, or when the header
// begins, and then outlive their configuration.
func TestLimitsInForceHoldForARequest(t *testing.T) {
	cases := []struct {
		name          string
		before, after topol.Limits
		// first is sent before the change of the configuration, rest after it.
		first, rest string
		status      int
	}{
		{"longer header while the connection is idle", topol.Limits{MaxHeaderBytes: 60}, topol.Limits{MaxHeaderBytes: 4 << 10}, "", request("GET", "/safe/", "r", ""), 200},
		{"longer body while the connection is idle", topol.Limits{MaxBodyBytes: 4}, topol.Limits{MaxBodyBytes: 1 << 10}, "", request("POST", "/safe/", "r", "hello"), 200},
		{"shorter body while the connection is idle", topol.Limits{MaxBodyBytes: 1 << 10}, topol.Limits{MaxBodyBytes: 4}, "", request("POST", "/safe/", "r", "hello"), 413},
		{"longer body while the header is read", topol.Limits{MaxBodyBytes: 4}, topol.Limits{MaxBodyBytes: 1 << 10}, "POST /safe/ HTTP/1.1\r\n", "Host: h.example\r\nKey: secret\r\nContent-Length: 5\r\n\r\nhello", 200},
		{"longer header timeout while the connection is idle", topol.Limits{HeaderTimeout: 10 * time.Millisecond}, topol.Limits{HeaderTimeout: 20 * time.Second}, "", "", 200},
		{"longer header timeout while the header is read", topol.Limits{HeaderTimeout: time.Second}, topol.Limits{HeaderTimeout: 20 * time.Second}, "GET /safe/ HTTP/1.1\r\n", "", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, newEndpoint(t, "e", ok("yes")))
			r.setLimits(func(l *topol.Limits) { override(l, c.before) })
			conn := r.dial()
			io.WriteString(conn, c.first)
			time.Sleep(100 * time.Millisecond)
			r.setLimits(func(l *topol.Limits) { override(l, c.after) })
			rest := c.rest
			if rest == "" {
				rest = strings.TrimPrefix(request("GET", "/safe/", "r", ""), c.first)
				io.WriteString(conn, rest[:10])
				time.Sleep(1500 * time.Millisecond)
				rest = rest[10:]
			}
			io.WriteString(conn, rest)
			res, err := readResponse(conn)
			must.NoError(t, err)
			test.Eq(t, c.status, res.status)
		})
	}
}

// override sets the limits that o sets.
func override(l *topol.Limits, o topol.Limits) {
	l.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, l.MaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, l.MaxBodyBytes)
	l.HeaderTimeout = cmp.Or(o.HeaderTimeout, l.HeaderTimeout)
}

// lateConn is a connection whose first read fails with a passed deadline although bytes
// have arrived.
type lateConn struct {
	*net.TCPConn
	expired bool
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.expired {
		return c.TCPConn.Read(b)
	}
	c.expired = true
	for conns.IsIdle(c.TCPConn) {
		time.Sleep(time.Millisecond)
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against an idle connection that is closed although a request has just arrived.
func TestRequestThatArrivesWithTheIdleTimeoutIsServed(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", ok("yes")))
	must.Eq(t, 200, r.do(request("GET", "/safe/", "r", "")).status)
	r.setLimits(func(l *topol.Limits) { l.IdleTimeout = -time.Minute })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	must.NoError(t, err)
	r.server.openConns.Add(1)
	go r.server.serve(context.Background(), &lateConn{TCPConn: accepted.(*net.TCPConn)})
	io.WriteString(c, request("GET", "/safe/", "r", ""))
	res, err := readResponse(c)
	must.NoError(t, err)
	test.Eq(t, 200, res.status)
}
