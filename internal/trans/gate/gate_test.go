package gate

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
)

func TestNonStreamResponses(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n"
	cases := []struct {
		name   string
		target string
		first  script
		// second is the script of the second request; if it is nil, first is
		// repeated.
		second script
		// status is the expected status, or 0 if it is not checked.
		status int
		body   string
		// runs is the number of requests that the endpoints received.
		runs int
	}{
		{"successful response", "/once/", ok("yes"), nil, 200, "yes", 1},
		{"error is forwarded unchanged", "/once/", fails(500), nil, 500, "oops", 1},
		{"idempotent request is retried after an error", "/safe/", fails(500), ok("yes"), 200, "yes", 2},
		{"idempotent request fails twice", "/safe/", fails(500), fails(502), 0, "oops", 2},
		{"once request that did not run is retried", "/once/", refuses(503), ok("yes"), 200, "yes", 2},
		{"another endpoint has the address now", "/once/", refuses(421), ok("yes"), 200, "yes", 2},
		{"once request without a response", "/once/", dropsConnection, ok("yes"), 502, "", 1},
		{"idempotent request without a response", "/safe/", dropsConnection, ok("yes"), 200, "yes", 2},
		{"response without a length", "/once/", raw(signed+"\r\nto the end", false), nil, 200, "to the end", 1},
		{"chunked response", "/once/", raw(signed+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true), nil, 200, "abc", 1},
		{"truncated response", "/once/", raw(signed+"Content-Length: 9\r\n\r\nabc", false), nil, 502, "", 1},
		{"truncated chunked response", "/once/", raw(signed+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false), nil, 502, "", 1},
		{"truncated response to an idempotent request", "/safe/", raw(signed+"Content-Length: 9\r\n\r\nabc", false), ok("yes"), 200, "yes", 2},
		{"response is not HTTP", "/once/", raw("hello\r\n\r\n", false), nil, 502, "", 1},
		{"success without a signature", "/once/", raw("HTTP/1.1 200 OK\r\nId: %ID\r\nContent-Length: 1\r\n\r\nx", true), nil, 502, "", 1},
		{"response to another request", "/once/", raw("HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx", false), nil, 502, "", 1},
		{"response to another request before this one's", "/once/",
			raw("HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx"+signed+"Content-Length: 1\r\n\r\ny", true), nil, 200, "y", 1},
		{"Content-Length and chunked", "/once/", raw(signed+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true), nil, 502, "", 1},
		{"client error", "/safe/", raw("HTTP/1.1 404 Not Found\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", true), nil, 404, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.second == nil {
				c.second = c.first
			}
			// Both endpoints share the scripts, which therefore run in the
			// order listed, whichever endpoint is chosen first.
			e := newEndpoint(t, "e", c.first, c.second)
			r := newRig(t, e, e.alias("f"))
			res := r.do(request("POST", c.target, "r1", "body"))
			if c.status > 0 {
				test.Eq(t, c.status, res.status)
			}
			test.NoError(t, res.err)
			test.Eq(t, c.body, res.body)
			test.SliceLen(t, c.runs, e.requests())
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	r.do("POST /once/%2e%2e/A//b?q=%41&Z HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: secret\r\nLeft: 900\r\nOwner: eve\r\n" +
		"X-own: a  b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	must.SliceLen(t, 1, e.requests())
	g := e.requests()[0]
	test.Eq(t, "/once/%2e%2e/A//b?q=%41&Z", string(g.head.Target))
	test.Eq(t, "abcde", g.body)
	test.Eq(t, "a  b", g.field("X-own"))
	test.Eq(t, "ana", g.field("Owner"))
	test.Eq(t, "ep", g.field("To"))
	for _, n := range []string{"Key", "X-Hop", "TE", "Transfer-Encoding"} {
		test.Eq(t, "", g.field(n), test.Sprint(n))
	}
	_, owners := g.head.Get("Owner")
	test.Eq(t, 1, owners)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	const start = "POST /once/ HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: secret\r\n"
	cases := []struct {
		name string
		text string
		// status is the expected status, or 0 if it is not checked.
		status int
	}{
		{"Content-Length and chunked", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		{"length of twenty digits", start + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		{"negative length", start + "Content-Length: -1\r\n\r\n", 400},
		{"length with a sign", start + "Content-Length: +3\r\n\r\nabc", 400},
		{"length is not a number", start + "Content-Length: abc\r\n\r\n", 400},
		{"other encoding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
		{"line end without a carriage return", "POST /once/ HTTP/1.1\nHost: h.example\n\n", 400},
		{"space before the colon", start + "X : 1\r\n\r\n", 400},
		{"folded line", start + "X: 1\r\n 2\r\n\r\n", 400},
		{"no host", "GET /once/ HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET /once/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"chunk size is not a number", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 0},
		{"long header", start + "X: " + strings.Repeat("a", 8<<10) + "\r\n\r\n", 431},
		{"header that continues after the response", start + "X: " + strings.Repeat("a", 300<<10) + "\r\n\r\n", 431},
		{"body that continues after the response", start + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("b", 400<<10), 413},
		{"long body", start + "Content-Length: 2000000\r\n\r\n", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", ok("yes"))
			r := newRig(t, e)
			conn := r.dial()
			io.WriteString(conn, c.text)
			res, err := readResponse(conn)
			if c.status > 0 {
				must.NoError(t, err)
				test.Eq(t, c.status, res.status)
			}
			// The connection must be closed, so that no bytes after the
			// message are read as another request.
			_, err = conn.Read(make([]byte, 1))
			test.Error(t, err)
			test.SliceEmpty(t, e.requests())
		})
	}
}

func TestAdmission(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		age    time.Duration
		status int
	}{
		{"unknown route", request("GET", "/none/", "r", ""), 0, 404},
		{"unknown route in an old configuration", request("GET", "/none/", "r", ""), 4 * time.Second, 503},
		{"unknown key", strings.Replace(request("GET", "/safe/", "r", ""), "secret", "other", 1), 0, 401},
		{"unknown key in an old configuration", strings.Replace(request("GET", "/safe/", "r", ""), "secret", "other", 1), 4 * time.Second, 503},
		{"known key in an old configuration", request("GET", "/safe/", "r", ""), 4 * time.Second, 200},
		{"known key that may have been revoked", request("GET", "/safe/", "r", ""), time.Minute, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", ok("yes"))
			r := newRigWithConfigAge(t, c.age, e)
			test.Eq(t, c.status, r.do(c.text).status)
		})
	}
}

func TestUnreachableEndpointGivesRetryAfter(t *testing.T) {
	// Nothing listens at the endpoint's address.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	r := newRig(t, &scriptedEndpoint{name: "e", address: l.Addr().String()})
	res := r.do(request("POST", "/once/", "r1", "x"))
	test.Eq(t, 503, res.status)
	test.NotEq(t, "", res.header.Get("Retry-After"))
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	e := newEndpoint(t, "e", neverResponds)
	r := newRig(t, e)
	began := time.Now()
	res := r.do(request("GET", "/short/", "r1", ""))
	test.Eq(t, 504, res.status)
	test.GreaterEq(t, 300*time.Millisecond, time.Since(began))
}

func TestForwardedTimeLeftIsSetByTheNode(t *testing.T) {
	e := newEndpoint(t, "e", refuses(503), ok("yes"))
	r := newRig(t, e, e.alias("f"))
	r.do(request("GET", "/safe/", "r1", "", "Left: 1"))
	for _, g := range e.requests() {
		test.NotEq(t, "4000", g.field("Left"))
	}
}

func TestCallerDisconnectCancelsTheRequest(t *testing.T) {
	for _, target := range []string{"/safe/", "/stream/"} {
		t.Run(target, func(t *testing.T) {
			e := newEndpoint(t, "e", neverResponds)
			r := newRig(t, e)
			c := r.dial()
			io.WriteString(c, request("POST", target, "r1", "x", "Prompt: 100"))
			waitFor(t, func() bool { return len(e.requests()) == 1 })
			c.Close()
			waitFor(t, func() bool { return r.server.InFlightCount() == 0 })
			test.SliceLen(t, 1, e.requests())
		})
	}
}

// waitFor polls until a condition holds. If it never does, the timeout of go
// test ends it.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	c := r.dial()
	br := bufio.NewReader(c)
	for range 3 {
		io.WriteString(c, request("GET", "/safe/", "r1", ""))
		res, err := readResponseFrom(br)
		must.NoError(t, err)
		test.Eq(t, "yes", res.body)
	}
	test.Eq(t, 1, e.conns)
}

func TestRequestsThatRunOnceGetNewConnections(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	for range 2 {
		test.Eq(t, 200, r.do(request("POST", "/once/", "r1", "x")).status)
	}
	test.Eq(t, 2, e.conns)
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 1\r\n\r\ny"
	e := newEndpoint(t, "e", raw(extra+extra, true), ok("yes"))
	r := newRig(t, e)
	test.Eq(t, "y", r.do(request("GET", "/safe/", "r1", "")).body)
	test.Eq(t, "yes", r.do(request("GET", "/safe/", "r2", "")).body)
}

func TestLongBodyIsForwarded(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	long := strings.Repeat("b", 600<<10)
	test.Eq(t, "yes", r.do(request("POST", "/once/", "r1", long)).body)
	must.SliceLen(t, 1, e.requests())
	test.Eq(t, len(long), len(e.requests()[0].body))
}

func TestDrainingNodeClosesConnections(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	r.server.Drain()
	res := r.do(request("GET", "/safe/", "r1", ""))
	test.Eq(t, 200, res.status)
	test.True(t, res.closesConn)
}

func TestMemoryOfLargePromptsIsReleased(t *testing.T) {
	var es []*scriptedEndpoint
	for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
		es = append(es, newEndpoint(t, n, streams(1, 2, true)))
	}
	r := newRig(t, es...)
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 150000"))
	test.Eq(t, 200, res.status)
	waitFor(t, func() bool {
		r.reserver.mu.Lock()
		defer r.reserver.mu.Unlock()
		return len(r.reserver.released) == len(r.reserver.reserved) && len(r.reserver.released) > 0
	})
	seen := map[string]bool{}
	for _, reservation := range r.reserver.reserved {
		test.False(t, seen[reservation.ID])
		seen[reservation.ID] = true
		test.LessEq(t, 3500*time.Millisecond, reservation.TTL)
	}
}

func TestPromptIsRejectedIfNoEngineHasMemory(t *testing.T) {
	var es []*scriptedEndpoint
	for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
		es = append(es, newEndpoint(t, n, streams(1, 2, true)))
	}
	r := newRig(t, es...)
	for _, e := range es {
		r.reserver.full[e.name+"m"] = true
	}
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 150000"))
	test.Eq(t, 503, res.status)
	for _, e := range es {
		test.SliceEmpty(t, e.requests())
	}
}

func TestDrainingNodeRejectsWhatItCannotFinish(t *testing.T) {
	cases := []struct {
		name   string
		target string
		since  time.Duration
		status int
	}{
		{"stream early", "/stream/", time.Second, 200},
		{"stream late", "/stream/", 4 * time.Second, 503},
		{"plain late", "/safe/", 4 * time.Second, 200},
		{"plain at the end", "/safe/", 7 * time.Second, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := ok("yes")
			if c.target == "/stream/" {
				s = streams(1, 2, true)
			}
			r := newRig(t, newEndpoint(t, "e", s))
			r.server.drainFrom(time.Now().Add(-c.since))
			res := r.do(request("GET", c.target, "r1", "", "Prompt: 100"))
			test.Eq(t, c.status, res.status)
			test.True(t, res.closesConn)
		})
	}
}

// Guards against a refusal that uses up the retry budget although no endpoint is left
// to retry at.
func TestRefusalByTheLastEndpointTakesNoRetry(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", refuses(503)))
	// The budget allows one retry.
	r.server.Budget = Budget{Window: 10 * time.Second, Extra: 2}
	test.Eq(t, 503, r.do(request("GET", "/safe/", "r1", "")).status)
	test.True(t, r.server.takeRetry("plain"))
}

// Callers set time limits of their own. Guards against taking a limit below the
// route's timeout for time that the caller has waited: the target of a first try then
// counts as missed, and its prompt is placed and rejected as if it were late.
func TestShortCallerLimitLeavesTheTarget(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", streams(1, 2, true)))
	c := testCatalog()
	c.Version++
	for _, r := range c.Routes {
		r.Timeout, r.Target = 2*time.Hour, time.Hour
	}
	r.server.Feeds.UpdateCatalog(c)
	sent := make(chan works.Request, 1)
	r.server.AnnounceStart = func(w works.Request) { sent <- w }
	must.Eq(t, 200, r.do(request("POST", "/stream/", "r1", "x", "Prompt: 1000")).status)
	test.Greater(t, time.Hour/2, (<-sent).Target)
}
