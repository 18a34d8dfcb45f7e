package gate

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

// withoutSlowStart ends slow start of all endpoints, which begins when the node starts.
func (r *rig) withoutSlowStart() *rig {
	r.server.observeStarts(time.Now())
	p := &r.server.pacing
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow.Expire(time.Now().Add(time.Hour), func(quota.Key) bool { return true })
	p.slowCount.Store(int64(p.slow.Len()))
	return r
}

func (r *rig) bound(n ident.EndpointName) int {
	e := r.endpoint(n)
	p := &r.server.pacing
	p.mu.Lock()
	defer p.mu.Unlock()
	b, _ := p.slow.Bound(pace.Key(&e), time.Now())
	return b
}

// holder holds the answers of endpoints.
type holder struct {
	arrived chan struct{}
	release chan struct{}
}

func newHolder() *holder { return &holder{make(chan struct{}, 100), make(chan struct{})} }

// hold answers like s once the answers are released.
func (h *holder) hold(s script) script {
	return func(c net.Conn, g receivedRequest) bool {
		h.arrived <- struct{}{}
		<-h.release
		return s(c, g)
	}
}

// send calls a function that begins a request, a number of times, and waits until all requests
// have arrived at endpoints.
func (h *holder) send(n int, send func()) {
	for range n {
		send()
	}
	for range n {
		<-h.arrived
	}
}

// slowRig returns a rig that sends each request once, whose endpoint e has just started, and which
// holds all answers. Nothing in it depends on how long requests take.
func slowRig(t *testing.T, target string) (r *rig, h *holder, e, f *scriptedEndpoint) {
	h = newHolder()
	answer := ok("yes")
	if target == "/stream/" {
		answer = streams(1, 1, true)
	}
	e, f = newEndpoint(t, "e", h.hold(answer)), newEndpoint(t, "f", h.hold(answer))
	r = newColdRig(t, 0, e, f).withoutSlowStart()
	r.withTargets(time.Hour)
	for _, n := range []ident.EndpointName{"ep", "em"} {
		started := r.endpoint(n)
		started.Born++
		r.setEndpoint(started)
		// Without a slot left at the other endpoint, the bound would not apply.
		other := r.endpoint("f" + n[1:])
		other.Slots = 40
		r.setEndpoint(other)
	}
	r.server.observeStarts(time.Now())
	return r, h, e, f
}

// patient returns a request without a limit of the caller's own.
func patient(request string) string { return strings.Replace(request, "Left: 4000\r\n", "", 1) }

// withTargets sets the targets of all routes, whose requests are sent once.
func (r *rig) withTargets(target time.Duration) {
	c, old := testCatalog(), r.server.Feeds.Catalog()
	c.Version, c.Services = old.Version+1, old.Services
	for _, route := range c.Routes {
		route.Timeout, route.Target, route.Attempts = 2*time.Hour, target, 1
	}
	r.server.Feeds.UpdateCatalog(c)
}

// Guards against a data centre's endpoints that return and get what all callers send at once,
// since nothing runs there: with a bound of two, the others serve the rest. The other endpoint
// holds its answers, since it gets all requests while it has none in flight. Requests that are
// chosen at the same time don't see each other, so all may first go to the other endpoint; those
// that follow one by one show that the bound is used as well.
func TestEndpointsInSlowStartGetFewConcurrentRequests(t *testing.T) {
	for _, target := range []string{"/once/", "/stream/"} {
		r, h, e, f := slowRig(t, target)
		must.Eq(t, 2, r.bound("ep"))
		must.Eq(t, 2, r.bound("em"))
		var calls sync.WaitGroup
		var last atomic.Int64
		send := func() {
			id := fmt.Sprint("r", last.Add(1))
			test.Eq(t, 200, r.do(patient(request("POST", target, id, "", "Prompt: 500"))).status, test.Sprint(target))
		}
		h.send(12, func() { calls.Go(send) })
		test.LessEq(t, 2, len(e.requests()), test.Sprint(target))
		for range 3 {
			h.send(1, func() { calls.Go(send) })
		}
		test.SliceLen(t, 2, e.requests(), test.Sprint(target))
		test.SliceLen(t, 13, f.requests(), test.Sprint(target))
		close(h.release)
		calls.Wait()
	}
}

// Guards against callers who are rejected although an endpoint would serve them: slow start bounds
// what an endpoint gets only while another one can serve.
func TestSlowStartCausesNoRejection(t *testing.T) {
	for _, target := range []string{"/once/", "/stream/"} {
		arrived, all := make(chan struct{}, 6), make(chan struct{})
		answer := ok("yes")
		if target == "/stream/" {
			answer = streams(1, 1, true)
		}
		e := newEndpoint(t, "e", func(c net.Conn, g receivedRequest) bool {
			arrived <- struct{}{}
			<-all
			return answer(c, g)
		})
		r := newColdRig(t, 0, e).withoutSlowStart()
		r.server.DataCentreReturned("a", time.Now())
		must.Eq(t, 2, r.bound("ep"))
		var calls sync.WaitGroup
		for i := range cap(arrived) {
			calls.Go(func() {
				test.Eq(t, 200, r.do(request("POST", target, fmt.Sprint("r", i), "", "Prompt: 500")).status, test.Sprint(target))
			})
		}
		for range cap(arrived) {
			<-arrived
		}
		close(all)
		calls.Wait()
	}
}

// Guards against callers who wait at endpoints that still work on what was sent before all nodes
// lost power: a node that knows of no requests begins with one at each endpoint.
func TestNodeThatKnowsNoRequestsBeginsSlowly(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(*Server)
		want  int
	}{
		{"nothing is known", func(*Server) {}, 1},
		{"a peer has no requests", func(s *Server) { s.InFlight.Reset("n2", 7) }, 1},
		{"a peer has told of requests", func(s *Server) {
			s.InFlight.Reset("n2", 7)
			s.InFlight.Put(works.Request{ID: 1, Node: "n2", First: "ep"})
		}, 0},
		{"no node has run before", func(s *Server) { s.Bootstrap = true }, 0},
	} {
		r := newColdRig(t, 0, newEndpoint(t, "e", ok("yes")))
		// A new node with the same feeds.
		s := &Server{Feeds: r.server.Feeds, InFlight: &works.Table{}, Logger: zerolog.Nop(), Node: "n1"}
		c.setUp(s)
		s.observeStarts(time.Now())
		e := r.endpoint("ep")
		bound, _ := s.pacing.slow.Bound(pace.Key(&e), time.Now())
		test.Eq(t, c.want, bound, test.Sprint(c.name))
	}
}

// Guards against a node that holds back what all endpoints could serve, since its first request came
// before its peers told of theirs. Peers that started at the same time don't know the load either.
func TestNodeThatHearsOfEarlierRequestsEndsSlowStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		sentAgo time.Duration
		returns bool
		want    int
	}{
		{"a peer that ran before", 3 * time.Second, false, 0},
		{"a peer that started at the same time", time.Millisecond, false, 1},
		{"its data centre has returned since", 3 * time.Second, true, 1},
	} {
		e := newEndpoint(t, "e", ok("yes"))
		r := newColdRig(t, 0, e)
		// A new node with the same feeds.
		s := &Server{Feeds: r.server.Feeds, InFlight: &works.Table{}, Logger: zerolog.Nop(), Node: "n1"}
		s.observeStarts(time.Now())
		listed := r.endpoint("ep")
		if c.returns {
			s.DataCentreReturned("a", time.Now())
		}
		s.InFlight.Reset("n2", 7)
		s.InFlight.Put(works.Request{ID: 1, Node: "n2", First: "ep", Since: time.Now().Add(-c.sentAgo)})
		s.pacing.mu.Lock()
		s.endLoadUnknown(time.Now())
		s.pacing.mu.Unlock()
		bound, _ := s.pacing.slow.Bound(pace.Key(&listed), time.Now())
		test.Eq(t, c.want, bound, test.Sprint(c.name))
	}
}

// Guards against an endpoint that answers in time and is left idle: its bound rises with the answers
// to all nodes, and ends at its slots.
func TestAnswersToAllNodesRaiseTheBound(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newColdRig(t, 0, e).withoutSlowStart()
	var told atomic.Int64
	r.server.AnnounceDecoding = func(works.ID) { told.Add(1) }
	must.Eq(t, 200, r.do(request("GET", "/safe/", "r", "")).status)
	test.Zero(t, told.Load(), test.Sprint("peers need the mark only while the endpoint is in slow start"))
	r.server.DataCentreReturned("a", time.Now())
	must.Eq(t, 2, r.bound("ep"))
	must.Eq(t, 200, r.do(request("GET", "/safe/", "r", "")).status)
	test.Eq(t, 1, told.Load())
	test.Eq(t, 3, r.bound("ep"))
	peer := func(id works.ID, age time.Duration, marked bool) {
		r.server.InFlight.Put(works.Request{ID: id, Node: "n2", First: "ep", Since: time.Now().Add(-age), Target: time.Second})
		if marked {
			r.server.InFlight.MarkDecoding("n2", id)
		}
		r.server.InFlight.Remove("n2", id)
	}
	peer(1, 100*time.Millisecond, true)
	test.Eq(t, 4, r.bound("ep"))
	peer(2, 100*time.Millisecond, false)
	test.Eq(t, 4, r.bound("ep"), test.Sprint("it may have ended for any reason"))
	for i := range works.ID(4) {
		peer(10+i, 100*time.Millisecond, true)
	}
	test.Eq(t, 0, r.bound("ep"), test.Sprint("it has reached its 8 slots"))
	test.Eq(t, 2, r.bound("em"))
	r.server.InFlight.Put(works.Request{ID: 20, Node: "n2", First: "em", Prompt: 100, Since: time.Now().Add(time.Second)})
	r.server.InFlight.Remove("n2", 20)
	test.Eq(t, 1, r.bound("em"), test.Sprint("the prompt of a peer ended without an event"))
}

// Guards against an endpoint that recovers and gets all at once what its service sends: after a
// connection that was not opened, or silence, it begins slowly, but only when it is used again.
// Guards as well against endpoints that get little although they have not started anew: after an
// error, a broken answer or a reset, and if a request from before goes on.
func TestEndpointThatWasLostBeginsSlowly(t *testing.T) {
	refused := outcome{result: notSent, reason: "connect: refused"}
	silent := outcome{}
	broken := failedSend("read response", io.ErrUnexpectedEOF)
	garbled := failedSend("read response", errors.Annotate(http1.ErrMalformed, "test"))
	timedOut := failedSend("read response", os.ErrDeadlineExceeded)
	strike := func(r *rig) { r.server.AddStrikes([]strik.Strike{{Endpoint: "ep"}}) }
	fail := func(o outcome) func(*rig) {
		return func(r *rig) {
			e := r.endpoint("ep")
			x := &exchange{server: r.server, service: r.server.Feeds.Catalog().Services["plain"], request: &http1.Request{}}
			o.startedAt = time.Now()
			x.recordFailureAt(&e, o, time.Now())
		}
	}
	told := func(r *rig) { r.server.AddPeerFailures([]ident.EndpointName{"ep", "unknown"}) }
	running := func(n works.ID) func(*rig) {
		return func(r *rig) {
			for i := range n {
				r.server.InFlight.Put(works.Request{ID: 100 + i, Node: "n2", First: "ep", Since: time.Now().Add(-time.Second)})
			}
		}
	}
	event := func(sentAgo time.Duration) func(*rig) {
		return func(r *rig) {
			r.server.pacing.mu.Lock()
			e := r.endpoint("ep")
			r.server.pacing.lost.Record(pace.Key(&e), time.Now().Add(-time.Minute/4))
			r.server.pacing.mu.Unlock()
			r.server.observeMark(works.Request{First: "ep", Since: time.Now().Add(-sentAgo)})
		}
	}
	for _, c := range []struct {
		name   string
		events []func(*rig)
		want   int
	}{
		{"refused", []func(*rig){fail(refused)}, 2},
		{"silent", []func(*rig){fail(silent)}, 2},
		{"timed out", []func(*rig){fail(timedOut)}, 2},
		{"a peer has told", []func(*rig){told}, 2},
		{"reset", []func(*rig){fail(broken)}, 0},
		{"garbled", []func(*rig){fail(garbled)}, 0},
		{"an error", []func(*rig){func(r *rig) { r.server.endpointHealth.recordFailure("ep", time.Now()) }}, 0},
		{"a peer has told of a reset", []func(*rig){told, strike}, 0},
		{"a request from before was answered", []func(*rig){told, event(time.Minute)}, 0},
		{"a later request was answered", []func(*rig){told, event(time.Second)}, 2},
		{"requests still run", []func(*rig){told, running(5)}, 5},
		{"all slots are taken", []func(*rig){told, running(8)}, 0},
		{"a reset and then refused", []func(*rig){fail(broken), strike, fail(refused)}, 2},
	} {
		e, f := newEndpoint(t, "e", ok("yes")), newEndpoint(t, "f", ok("yes"))
		r := newColdRig(t, 0, e, f).withoutSlowStart()
		for _, do := range c.events {
			do(r)
		}
		must.Eq(t, 200, r.do(request("GET", "/safe/", "r", "")).status)
		test.Eq(t, 0, r.bound("ep"), test.Sprint(c.name, ": it is avoided"))
		r.server.endpointHealth.recordSuccess("ep")
		must.Eq(t, 200, r.do(request("GET", "/safe/", "r2", "")).status)
		if c.want > 0 && len(e.requests()) > 0 {
			c.want++
		}
		test.Eq(t, c.want, r.bound("ep"), test.Sprint(c.name))
		test.Eq(t, 0, r.bound("fp"), test.Sprint(c.name))
	}
}

// Guards against a bound that stays although the endpoint refuses requests.
func TestRefusalHalvesTheBound(t *testing.T) {
	e := newEndpoint(t, "e", refuses(503))
	r := newColdRig(t, 0, e).withoutSlowStart()
	r.server.DataCentreReturned("a", time.Now())
	must.Eq(t, 2, r.bound("ep"))
	must.Eq(t, 503, r.do(request("GET", "/safe/", "r", "")).status)
	test.Eq(t, 1, r.bound("ep"))
}

// Guards against turns that are not given back: an endpoint would get nothing more.
func TestTurnsAreGivenBack(t *testing.T) {
	e := newEndpoint(t, "e", fails(500), dropsConnection, refuses(503), raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true), statesCold("0"))
	r := newColdRig(t, 0, e)
	for i := range 10 {
		r.do(request("POST", "/once/", fmt.Sprint("r", i), ""))
	}
	listed := r.endpoint("ep")
	r.awaitTurns(&listed)
}

// awaitTurns waits until this node has no turn at an endpoint.
func (r *rig) awaitTurns(e *topol.Endpoint) {
	for range 2000 {
		r.server.pacing.mu.Lock()
		own := r.server.pacing.slow.Own(pace.Key(e))
		r.server.pacing.mu.Unlock()
		if own == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Error("a turn was not given back")
}

// Guards against a node that rejects what idle endpoints could serve, since other members have all
// parts of their bounds.
func TestNodeWithoutATurnMaySendOneRequest(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newColdRig(t, 0, e)
	r.server.Members = func(time.Time) pace.Members {
		ms := pace.Members{Self: "n1", Alive: 300, IsInformed: true}
		for i := range 300 {
			ms.Known = append(ms.Known, ident.NodeName(fmt.Sprint("n", i)))
		}
		return ms
	}
	listed := r.endpoint("ep")
	for i := range 5 {
		test.Eq(t, 200, r.do(request("GET", "/safe/", fmt.Sprint("r", i), "")).status)
		r.awaitTurns(&listed)
	}
}
