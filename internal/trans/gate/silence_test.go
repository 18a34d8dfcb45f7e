package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

// shortWait is how long endpoints may be silent in the rigs of these tests before another one
// is tried.
const shortWait = 50 * time.Millisecond

// newSilenceRig returns a rig whose waits are short.
func newSilenceRig(t testing.TB, attempts int, es ...*scriptedEndpoint) *rig {
	return newSilenceRigWith(t, attempts, func(*Server) {}, es...)
}

func newSilenceRigWith(t testing.TB, attempts int, configure func(*Server), es ...*scriptedEndpoint) *rig {
	r := newConfiguredRig(t, 0, func(s *Server) {
		s.MinGapWait, s.HeaderSlack = shortWait, shortWait
		s.DialEndpoint = inOrder(es)
		configure(s)
	}, es...)
	c := testCatalog()
	c.Version++
	for _, route := range c.Routes {
		route.Gap, route.Target, route.Attempts = time.Millisecond, shortWait, attempts
		route.Timeout = 4 * time.Second
	}
	r.server.Feeds.UpdateCatalog(c)
	return r
}

// inOrder returns a function that opens a connection only after a request has arrived over each
// one before, so that the scripts of endpoints are used in the order of the sends. Probes don't wait.
func inOrder(es []*scriptedEndpoint) links.DialFunc {
	var dialed atomic.Int64
	received := func() (n int64) {
		for _, e := range es {
			n += int64(len(e.requests()))
		}
		return n
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		if carriesNoRequest(ctx) {
			return links.Dial(ctx, address)
		}
		for received() < dialed.Load() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		c, err := links.Dial(ctx, address)
		if err == nil {
			dialed.Add(1)
		}
		return c, err
	}
}

// sent returns how many sends have ended with a result.
func (r *rig) sent(o result) float64 {
	return counterValue(r.t, r.server, "laburnum_sends_total", o.String())
}

// parts is a script that writes the parts of an answer as the test passes them on, and ends
// with them. gone is closed once the other end has closed the connection.
type parts struct {
	next chan string
	gone chan struct{}
}

func newParts() *parts { return &parts{make(chan string), make(chan struct{})} }

func (p *parts) script(c net.Conn, g receivedRequest) bool {
	go func() {
		io.Copy(io.Discard, c)
		close(p.gone)
	}()
	for text := range p.next {
		io.WriteString(c, strings.ReplaceAll(text, "%ID", g.field("Id")))
	}
	<-p.gone
	return false
}

// unreachableEndpoint returns an endpoint whose address is taken, but which nothing listens at.
func unreachableEndpoint(t testing.TB, name string) *scriptedEndpoint {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	return &scriptedEndpoint{name: name, address: fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)}
}

// silences are the kinds of silence after which an endpoint goes on, by their answers.
var silences = []struct {
	name                     string
	target                   string
	before, after, wantWhole string
}{
	{"after an event", "/stream/", streamHead + chunked(event(1)), chunked(event(2)) + lastChunk, event(1) + event(2)},
	{"within an event", "/stream/", streamHead + chunked(event(1)+event(2)[:6]), chunked(event(2)[6:]) + lastChunk, event(1) + event(2)},
	{"within a chunk", "/stream/", streamHead + "20\r\n" + event(1), event(2) + "\r\n" + lastChunk, event(1) + event(2)},
	{"before the first event", "/stream/", streamHead, chunked(event(1)) + lastChunk, event(1)},
	{"before the header", "/stream/", "", streamHead + chunked(event(1)) + lastChunk, event(1)},
	{"within the header", "/stream/", streamHead[:30], streamHead[30:] + chunked(event(1)) + lastChunk, event(1)},
	{"before a plain answer", "/safe/", "", "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nyes", "yes"},
	{"within the header of a plain answer", "/safe/", "HTTP/1.1 200 OK\r\nId: %ID\r\nSig", "ned: 1\r\nContent-Length: 3\r\n\r\nyes", "yes"},
}

// Guards against an answer that is cut although its endpoint is sound: it was silent for
// longer than the wait for it, and was left before another endpoint had taken its place.
func TestSilentEndpointGoesOnIfNobodyTakesItsPlace(t *testing.T) {
	others := []struct {
		name   string
		script script
		// ended is how the send to the other endpoint ends.
		ended result
	}{
		{"refuses", refuses(503), refused},
		{"fails", fails(500), failed},
		{"drops the connection", dropsConnection, unanswered},
		{"sends an unsigned answer", raw("HTTP/1.1 200 OK\r\nId: %ID\r\nContent-Length: 0\r\n\r\n", true), unanswered},
	}
	for _, s := range silences {
		for _, o := range others {
			t.Run(s.name+"/"+o.name, func(t *testing.T) {
				t.Parallel()
				first := newParts()
				e := newEndpoint(t, "e", first.script, o.script)
				r := newSilenceRig(t, 2, e, e.alias("f"))
				go func() {
					first.next <- s.before
					waitFor(t, func() bool { return r.sent(o.ended) > 0 })
					time.Sleep(2 * shortWait)
					first.next <- s.after
				}()
				res := r.do(request("POST", s.target, "r1", "x", "Prompt: 100"))
				test.NoError(t, res.err)
				test.Eq(t, 200, res.status)
				test.Eq(t, s.wantWhole, res.body)
				test.SliceLen(t, 2, e.requests())
			})
		}
	}
}

// Guards as the test above does, where there is no other endpoint to try.
func TestSilentEndpointGoesOnIfThereIsNoOther(t *testing.T) {
	one := func(e *scriptedEndpoint) []*scriptedEndpoint { return []*scriptedEndpoint{e} }
	two := func(e *scriptedEndpoint) []*scriptedEndpoint { return []*scriptedEndpoint{e, e.alias("f")} }
	for _, c := range []struct {
		name      string
		attempts  int
		endpoints func(*scriptedEndpoint) []*scriptedEndpoint
		configure func(*Server)
	}{
		{"no other endpoint", 2, one, func(*Server) {}},
		{"no attempts left", 1, two, func(*Server) {}},
		{"no retries left", 2, two, func(s *Server) { s.Budget = Budget{Window: 10 * time.Second} }},
		{"the other is unreachable", 2, func(e *scriptedEndpoint) []*scriptedEndpoint {
			return []*scriptedEndpoint{e, unreachableEndpoint(t, "f")}
		}, func(*Server) {}},
	} {
		for _, s := range silences {
			t.Run(c.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				first := newParts()
				e := newEndpoint(t, "e", first.script)
				r := newSilenceRigWith(t, c.attempts, c.configure, c.endpoints(e)...)
				go func() {
					first.next <- s.before
					time.Sleep(5 * shortWait)
					first.next <- s.after
				}()
				r.doWhole(request("POST", s.target, "r1", "x", "Prompt: 100"), s.wantWhole)
				test.SliceLen(t, 1, e.requests())
			})
		}
	}
}

// Guards against a request that waits for an endpoint which stays silent, and against events
// that come twice or out of order once another one has taken its place.
func TestAnotherEndpointTakesThePlaceOfASilentOne(t *testing.T) {
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			first := newParts()
			second := streams(1, 4, true)
			want := event(1) + event(2) + event(3) + event(4)
			if s.target == "/safe/" {
				second, want = ok("other"), "other"
			}
			e := newEndpoint(t, "e", first.script, second)
			r := newSilenceRig(t, 2, e, e.alias("f"))
			go func() { first.next <- s.before }()
			r.doWhole(request("POST", s.target, "r1", "x", "Prompt: 100"), want)
			test.SliceLen(t, 2, e.requests())
			<-first.gone
			test.Eq(t, 1, r.sent(superseded))
		})
	}
}

// Guards against two answers that are joined, or an endpoint that is blamed, if a silent
// endpoint goes on while another one prepares to take its place.
func TestSilentEndpointThatGoesOnFirstKeepsItsPlace(t *testing.T) {
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			first, second := newParts(), newParts()
			e := newEndpoint(t, "e", first.script, second.script)
			r := newSilenceRig(t, 2, e, e.alias("f"))
			go func() {
				first.next <- s.before
				waitFor(t, func() bool { return len(e.requests()) == 2 })
				first.next <- s.after
			}()
			r.doWhole(request("POST", s.target, "r1", "x", "Prompt: 100"), s.wantWhole)
			<-second.gone
			waitFor(t, func() bool { return len(r.server.InFlight.All()) == 0 })
			test.Eq(t, 1, r.sent(cancelled))
			test.Zero(t, r.sent(unanswered))
			for _, n := range []ident.EndpointName{"ep", "em", "fp", "fm"} {
				test.False(t, r.server.endpointHealth.isSuspect(n, time.Now()), test.Sprint(n))
			}
		})
	}
}

// Guards against endpoints that keep working for a caller who has left while two of them ran
// its request.
func TestCallerDisconnectCancelsAllAttempts(t *testing.T) {
	for _, target := range []string{"/stream/", "/safe/"} {
		first, second := newParts(), newParts()
		e := newEndpoint(t, "e", first.script, second.script)
		r := newSilenceRig(t, 3, e, e.alias("f"))
		c := r.dial()
		io.WriteString(c, request("POST", target, "r1", "x", "Prompt: 100"))
		waitFor(t, func() bool { return len(e.requests()) == 2 })
		c.Close()
		<-first.gone
		<-second.gone
		waitFor(t, func() bool { return r.server.InFlightCount() == 0 && len(r.server.InFlight.All()) == 0 })
		test.SliceLen(t, 2, e.requests())
		test.Zero(t, r.sent(unanswered), test.Sprint("nobody is blamed"))
	}
}

// Guards against a request that ends with its endpoint while another one already runs it.
func TestBrokenStreamGoesOnWithTheAttemptUnderWay(t *testing.T) {
	second := newParts()
	brokenOff := make(chan struct{})
	breaks := func(c net.Conn, g receivedRequest) bool {
		io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", g.field("Id"))+chunked(event(1)))
		<-brokenOff
		return false
	}
	e := newEndpoint(t, "e", breaks, second.script)
	r := newSilenceRig(t, 2, e, e.alias("f"))
	go func() {
		waitFor(t, func() bool { return len(e.requests()) == 2 })
		close(brokenOff)
		waitFor(t, func() bool { return r.sent(unanswered) == 1 })
		second.next <- streamHead + chunked(event(2))
		second.next <- chunked(event(3)) + lastChunk
	}()
	r.doWhole(request("POST", "/stream/", "r1", "x", "Prompt: 100"), event(1)+event(2)+event(3))
	test.SliceLen(t, 2, e.requests())
}

// Guards against requests that may run once and are sent to a second endpoint.
func TestSilentBookingIsNotSentTwice(t *testing.T) {
	first := newParts()
	e := newEndpoint(t, "e", first.script, ok("twice"))
	r := newSilenceRig(t, 3, e, e.alias("f"))
	go func() {
		time.Sleep(5 * shortWait)
		first.next <- "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nyes"
	}()
	test.Eq(t, "yes", r.do(request("POST", "/once/", "r1", "x")).body)
	test.SliceLen(t, 1, e.requests())
}

// Guards against more runs at a time than the route allows.
func TestSilentEndpointsCountAsAttempts(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		e := newEndpoint(t, "e", neverResponds)
		r := newSilenceRig(t, attempts, e, e.alias("f"), e.alias("g"), e.alias("h"), e.alias("i"))
		test.Eq(t, 504, r.do(strings.Replace(request("POST", "/safe/", "r1", "x"), "Left: 4000", "Left: 900", 1)).status)
		test.SliceLen(t, attempts, e.requests())
	}
}
