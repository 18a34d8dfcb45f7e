package gate

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// Guards against connections that are closed without a trace of the reason.
func TestClosedConnectionsAreCountedByReason(t *testing.T) {
	cases := []struct {
		name   string
		target string
		script script
		// act uses a connection until it is closed.
		act    func(c io.ReadWriteCloser)
		why    closeReason
		unread bool
	}{
		{"no request within the idle timeout", "/safe/", ok("yes"), func(c io.ReadWriteCloser) { io.Copy(io.Discard, c) }, closeIdle, false},
		{"caller closes between requests", "/safe/", ok("yes"), func(c io.ReadWriteCloser) { c.Close() }, closeCaller, false},
		{"caller asks for a close", "/safe/", ok("yes"), func(c io.ReadWriteCloser) {
			io.WriteString(c, request("GET", "/safe/", "r1", "", "Connection: close"))
			io.Copy(io.Discard, c)
		}, closeAnnounced, false},
		{"malformed request", "/safe/", ok("yes"), func(c io.ReadWriteCloser) {
			io.WriteString(c, "hello\r\n\r\n")
			io.Copy(io.Discard, c)
		}, closeUnreadable, false},
		{"stream is broken off, the next request has been sent", "/stream/", streams(1, 2, false), func(c io.ReadWriteCloser) {
			io.WriteString(c, request("GET", "/stream/", "r1", "")+request("GET", "/safe/", "r2", ""))
			io.Copy(io.Discard, c)
		}, closeCut, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, newEndpoint(t, "e", c.script))
			catalog := testCatalog()
			catalog.Version++
			catalog.Limits.IdleTimeout = 200 * time.Millisecond
			r.server.Feeds.UpdateCatalog(catalog)
			c.act(r.dial())
			for counterValue(t, r.server, "laburnum_connections_closed_total") == 0 {
				time.Sleep(time.Millisecond)
			}
			test.Eq(t, 1, counterValue(t, r.server, "laburnum_connections_closed_total", string(c.why), strconv.FormatBool(c.unread)))
		})
	}
}

// Guards against a response that is lost since its connection is closed, and so reset, while
// bytes that the caller sent too early are unread.
func TestAnnouncedCloseDoesNotResetTheConnection(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	r := newRig(t, newEndpoint(t, "e", ok(body)))
	c := r.dial().(*net.TCPConn)
	must.NoError(t, c.SetReadBuffer(128<<10))
	io.WriteString(c, request("GET", "/safe/", "r", "", "Connection: close")+strings.Repeat("y", 4*readBufferBytes))
	for r.server.openConns.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	res, err := readResponse(c)
	must.NoError(t, err)
	must.NoError(t, res.err)
	test.Eq(t, len(body), len(res.body))
}

// A caller that closes its sending half after a request counts as gone, since a connection
// that was closed looks the same. Guards against work for callers who are gone, and against
// a change of that decision by accident.
func TestHalfClosedCallerCountsAsGone(t *testing.T) {
	released := make(chan struct{})
	e := newEndpoint(t, "e", func(c net.Conn, g receivedRequest) bool {
		defer close(released)
		return neverResponds(c, g)
	})
	r := newRig(t, e)
	c := r.dial().(*net.TCPConn)
	io.WriteString(c, request("GET", "/stream/", "r", ""))
	for len(e.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, c.CloseWrite())
	<-released
	_, err := readResponse(c)
	test.Error(t, err)
	for counterValue(t, r.server, "laburnum_connections_closed_total", string(closeLeft), "false") == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that were read whole and end without a response, with nothing that
// tells of them.
func TestRequestWithoutAResponseIsCounted(t *testing.T) {
	cases := []struct {
		name    string
		closing closeReason
		line    bool
	}{
		{"no reason is known", closeUnanswered, true},
		{"the process ends", closeEnd, true},
		{"the caller has left", closeLeft, false},
	}
	for _, c := range cases {
		var log logBuffer
		s := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(&log) }).server
		for range 2 * maxFailureLines {
			s.requestLog(false).Msg("gate: refused")
		}
		x := &exchange{server: s, catalog: &topol.Catalog{Version: 7}, closing: c.closing}
		x.reqHeader.ID = "r1"
		x.recordUnanswered(time.Now())
		test.Eq(t, 1, counterValue(t, s, "laburnum_unanswered_requests_total", string(c.closing)), test.Sprint(c.name))
		if c.line {
			line := log.firstLine(t, "gate: request has no response")
			test.Eq(t, "r1", line["request"], test.Sprint(c.name))
			test.Eq(t, any(7.0), line["version"], test.Sprint(c.name))
		}
	}
}

// Guards against callers who left that are missing among the requests without a response.
func TestRequestOfACallerWhoLeftIsCounted(t *testing.T) {
	begun, left := make(chan struct{}), make(chan struct{})
	defer close(left)
	r := newRig(t, newEndpoint(t, "e", func(net.Conn, receivedRequest) bool {
		close(begun)
		<-left
		return false
	}))
	c := r.dial()
	io.WriteString(c, request("GET", "/safe/", "r1", ""))
	<-begun
	c.Close()
	for counterValue(t, r.server, "laburnum_unanswered_requests_total", string(closeLeft)) == 0 {
		time.Sleep(time.Millisecond)
	}
}
