package gate

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/jumps"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

// newStoppingRig returns a rig whose routes have the given timeout.
func newStoppingRig(t *testing.T, gracePeriod, timeout time.Duration, configure func(*Server), es ...*scriptedEndpoint) *rig {
	r := newConfiguredRig(t, 0, func(s *Server) {
		s.GracePeriod = gracePeriod
		configure(s)
	}, es...)
	c := testCatalog()
	c.Version++
	for _, p := range []string{"/once/", "/safe/", "/stream/"} {
		c.Match("h.example", p).Timeout = timeout
	}
	r.server.Feeds.UpdateCatalog(c)
	return r
}

// waitingFor returns a request whose caller waits for the given number of milliseconds.
func waitingFor(left, method, target string) string {
	return strings.Replace(request(method, target, "r", ""), "Left: 4000", "Left: "+left, 1)
}

// Guards against requests that arrive late in a planned stop, are passed on although they may
// take longer than the process lives, and then get no answer of their endpoint.
func TestLateRequestsOfAStopAreRefusedAsNotRun(t *testing.T) {
	const gracePeriod = 8 * time.Second
	cases := []struct {
		name, target string
		timeout      time.Duration
		left         string
		// since is the time from the stop signal to the request.
		since time.Duration
		want  int
	}{
		{"once, in time", "/once/", 4 * time.Second, "20000", time.Second, 200},
		{"once, early, but the route takes longer", "/once/", 10 * time.Second, "20000", 0, 503},
		{"once, late", "/once/", 4 * time.Second, "20000", 3400 * time.Millisecond, 503},
		{"once, late, the caller waits for less", "/once/", 4 * time.Second, "1500", 5 * time.Second, 200},
		{"safe, in time", "/safe/", 4 * time.Second, "20000", time.Second, 200},
		{"safe, late", "/safe/", 4 * time.Second, "20000", 3400 * time.Millisecond, 503},
		{"stream, early", "/stream/", 10 * time.Second, "20000", time.Second, 200},
		{"stream, late", "/stream/", 10 * time.Second, "20000", 2600 * time.Millisecond, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := ok("yes")
			if c.target == "/stream/" {
				answer = streams(1, 1, true)
			}
			e := newEndpoint(t, "e", answer)
			r := newStoppingRig(t, gracePeriod, c.timeout, func(*Server) {}, e)
			r.server.drainFrom(time.Now().Add(-c.since))
			res := r.do(waitingFor(c.left, "GET", c.target))
			test.Eq(t, c.want, res.status)
			test.True(t, res.closesConn)
			if c.want == 503 {
				test.SliceEmpty(t, e.requests(), test.Sprint("a request that counts as not run must not be sent"))
				test.NotEq(t, "", res.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against streams that are taken late in a stop and cut at its end since the time of
// day has jumped after the stop signal.
func TestStepOfTheTimeOfDayPostponesNoStop(t *testing.T) {
	const gracePeriod = 8 * time.Second
	for _, seconds := range []int{2, -2, 3600} {
		s := &Server{GracePeriod: gracePeriod}
		now := time.Now()
		s.drainFrom(jumps.Step(now, seconds))
		stream := &exchange{server: s, route: &topol.Route{Kind: topol.Stream}, deadline: now.Add(gracePeriod)}
		test.False(t, stream.mayOutliveNode(now.Add(streamAcceptPeriod-time.Millisecond), 0), test.Sprintf("step of %d s", seconds))
		test.True(t, stream.mayOutliveNode(now.Add(streamAcceptPeriod+time.Millisecond), 0), test.Sprintf("step of %d s", seconds))
		end := now.Add(gracePeriod - answerMargin)
		for _, c := range []struct {
			deadline time.Time
			want     bool
		}{{end.Add(-time.Millisecond), false}, {end.Add(time.Millisecond), true}} {
			plain := &exchange{server: s, route: &topol.Route{}, deadline: c.deadline}
			test.Eq(t, c.want, plain.mayOutliveNode(now, 0), test.Sprintf("step of %d s, deadline %v", seconds, c.deadline.Sub(end)))
		}
	}
}

// Guards against streams that are taken in a stop and cut at its end since their answers are
// long.
func TestLongStreamsAreNotTakenInAStop(t *testing.T) {
	const gracePeriod = 8 * time.Second
	const left = gracePeriod - answerMargin
	engine := &topol.Service{Engine: &topol.Engine{StepTime: time.Millisecond}}
	tokens := func(d time.Duration) ident.Tokens { return ident.Tokens(d / time.Millisecond / decodeSlowdown) }
	cases := []struct {
		name    string
		service *topol.Service
		output  ident.Tokens
		since   time.Duration
		toFirst time.Duration
		want    bool
	}{
		{"short", engine, 100, 0, 0, false},
		{"too long from the start", engine, tokens(left) + 1, 0, 0, true},
		{"ends in time", engine, tokens(left - 2*time.Second), 2 * time.Second, 0, false},
		{"too long by now", engine, tokens(left-2*time.Second) + 1, 2 * time.Second, 0, true},
		{"too long after the time to its first event", engine, tokens(left - 2*time.Second), time.Second, 1100 * time.Millisecond, true},
		{"without a bound", engine, math.MaxInt64, 0, 0, true},
		{"nothing is known of the engines", &topol.Service{}, math.MaxInt64, 0, 0, false},
	}
	for _, c := range cases {
		s := &Server{GracePeriod: gracePeriod}
		now := time.Now()
		s.drainFrom(now.Add(-c.since))
		x := &exchange{server: s, route: &topol.Route{Kind: topol.Stream}, service: c.service}
		x.reqHeader.MaxOutput = c.output
		test.Eq(t, c.want, x.mayOutliveNode(now, c.toFirst), test.Sprint(c.name))
	}
}

// Guards against a decision at the header of a request whose body takes long, so that the
// stop begins, or goes on, until the request is whole.
func TestLateBodyInAStopIsRefused(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newStoppingRig(t, 8*time.Second, 4*time.Second, func(*Server) {}, e)
	conn := r.dial()
	io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nId: r\r\nKey: secret\r\nContent-Length: 5\r\n\r\nhe")
	for !r.server.hasConn(true) {
		time.Sleep(time.Millisecond)
	}
	r.server.drainFrom(time.Now().Add(-4 * time.Second))
	io.WriteString(conn, "llo")
	res, err := readResponse(conn)
	must.NoError(t, err)
	test.Eq(t, 503, res.status)
	test.SliceEmpty(t, e.requests())
}

// Guards against a request that is sent although the stop has begun while the node was
// connecting to its endpoint.
func TestStopWhileConnectingToAnEndpoint(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	var s *Server
	r := newStoppingRig(t, 4*time.Second, 10*time.Second, func(server *Server) {
		s = server
		s.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
			s.Drain()
			return links.Dial(ctx, address)
		}
	}, e)
	res := r.do(waitingFor("20000", "GET", "/once/"))
	test.Eq(t, 503, res.status)
	test.SliceEmpty(t, e.requests())
}

// Guards against a further send of a request that begins when the node may stop before its
// answer; the caller keeps the outcome of the first.
func TestNoFurtherSendLateInAStop(t *testing.T) {
	var s *Server
	first := newEndpoint(t, "e1", func(c net.Conn, g receivedRequest) bool {
		s.Drain()
		return refuses(503)(c, g)
	})
	second := newEndpoint(t, "e2", func(c net.Conn, g receivedRequest) bool {
		s.Drain()
		return refuses(503)(c, g)
	})
	r := newStoppingRig(t, 4*time.Second, 10*time.Second, func(server *Server) { s = server }, first, second)
	res := r.do(waitingFor("20000", "GET", "/once/"))
	test.Eq(t, 503, res.status)
	test.Eq(t, 1, len(first.requests())+len(second.requests()))
}

// Guards against a stream that its caller has begun to receive and that isn't resumed since
// the node stops.
func TestStreamIsResumedDuringAStop(t *testing.T) {
	var s *Server
	var r *rig
	cut := func(c net.Conn, g receivedRequest) bool {
		s.drainFrom(time.Now().Add(-3 * time.Second))
		return streams(1, 2, false)(c, g)
	}
	answer := func(c net.Conn, g receivedRequest) bool {
		if g.field("Last-Event-Id") == "" {
			return cut(c, g)
		}
		return streams(3, 4, true)(c, g)
	}
	r = newStoppingRig(t, 8*time.Second, 10*time.Second, func(server *Server) { s = server }, newEndpoint(t, "e1", answer), newEndpoint(t, "e2", answer))
	conn := r.dial()
	io.WriteString(conn, waitingFor("20000", "GET", "/stream/"))
	res, err := readResponseFrom(bufio.NewReader(conn))
	must.NoError(t, err)
	must.NoError(t, res.err)
	test.Eq(t, 200, res.status)
}

// Guards against a peer's request that goes over a node that stops: its time isn't known here,
// and the peer has other ways.
func TestStoppingNodeTakesNoTunnels(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	var s *Server
	newConfiguredRig(t, 0, func(server *Server) {
		s = server
		hasPeer("n2")(s)
	}, e)
	s.Drain()
	_, err := s.ConnectForPeer(context.Background(), tunnel.Request{From: "n2", Endpoint: "ep", Address: e.address})
	test.Error(t, err)
}
