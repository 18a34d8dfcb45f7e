package gate

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/stale"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// misdirects answers 421, with fields of the endpoint's own.
func misdirects() script {
	return raw("HTTP/1.1 421 Misdirected\r\nId: %ID\r\nSigned: 1\r\nNot-Run: 1\r\nLimit: 0\r\nX-Own: other\r\nContent-Length: 4\r\n\r\nelse", true)
}

// listed is a record of a test's list of endpoints.
type listed struct {
	endpoint   *scriptedEndpoint
	dataCentre ident.DataCentre
	born       int64
	// service is plain if it is empty.
	service ident.ServiceName
}

// list puts a list of endpoints in force, which is confirmed now.
func (r *rig) list(ls ...listed) {
	es := make([]topol.Endpoint, len(ls))
	for i, l := range ls {
		es[i] = topol.Endpoint{Name: ident.EndpointName(l.endpoint.name), Service: cmp.Or(l.service, "plain"), Address: l.endpoint.address, Slots: 8, DataCentre: l.dataCentre, Born: l.born}
	}
	r.server.Feeds.UpdateEndpoints(es, r.server.staleRecords.now())
}

// endpointsOf returns endpoints of a data centre, each with the same script, and their records.
func endpointsOf(t *testing.T, dc ident.DataCentre, n int, s script) ([]*scriptedEndpoint, []listed) {
	var es []*scriptedEndpoint
	var ls []listed
	for i := range n {
		es = append(es, newEndpoint(t, fmt.Sprint(dc, i), s))
		ls = append(ls, listed{es[i], dc, 1, ""})
	}
	return es, ls
}

// received returns the number of requests that endpoints received.
func received(es []*scriptedEndpoint) int {
	n := 0
	for _, e := range es {
		n += len(e.requests())
	}
	return n
}

// misdirected returns the number of sends that were answered with 421 by the metrics.
func (r *rig) misdirected() (n float64) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(r.server.getMetrics().misdirected)
	families, err := reg.Gather()
	must.NoError(r.t, err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			n += m.GetCounter().GetValue()
		}
	}
	return n
}

// newStaleRig returns a rig on whose clock no avoidance times out. It counts up by a microsecond
// each time it is read, so that sends and lists have an order.
func newStaleRig(t testing.TB, configure func(*Server)) *rig {
	// The rig's own list, which is empty, must be the older one.
	began, reads := clock.Now().Add(time.Minute), atomic.Int64{}
	return newConfiguredRig(t, 0, func(s *Server) {
		s.staleRecords.clock = func() clock.Instant { return began.Add(time.Duration(reads.Add(1)) * time.Microsecond) }
		configure(s)
	})
}

// largeBudget makes the budget large enough that it doesn't bound a test's retries.
func largeBudget(s *Server) { s.Budget.Extra = 10_000 }

// TestMisdirectedRequestLeavesTheDataCentre guards against a second 421 from the same data
// centre for one request, and against a caller who gets it although others serve. All endpoints
// of the node's own data centre, which it prefers, have returned under new names.
func TestMisdirectedRequestLeavesTheDataCentre(t *testing.T) {
	for _, target := range []string{"/once/", "/safe/"} {
		t.Run(target, func(t *testing.T) {
			gone, ls := endpointsOf(t, "a", 6, misdirects())
			sound := newEndpoint(t, "b0", ok("yes"))
			r := newStaleRig(t, largeBudget)
			r.list(append(ls, listed{sound, "b", 1, ""})...)
			for i := range 20 {
				before := received(gone)
				res := r.do(request("POST", target, fmt.Sprint("r", i), "x"))
				must.Eq(t, 200, res.status)
				must.Eq(t, "yes", res.body)
				test.LessEq(t, before+1, received(gone))
			}
			// Two answers of different endpoints speak for the whole data centre, or one and a
			// connection that was not accepted in time.
			test.LessEq(t, 2, received(gone))
			test.Positive(t, r.misdirected())
			test.Eq(t, 1, r.server.staleRecords.groups.Load())
		})
	}
}

// TestMisdirectedPromptLeavesTheDataCentre is the same for prompts, which are placed by the load
// of the engines.
func TestMisdirectedPromptLeavesTheDataCentre(t *testing.T) {
	gone, ls := endpointsOf(t, "a", 6, misdirects())
	sound := newEndpoint(t, "b0", streams(1, 2, true))
	r := newStaleRig(t, largeBudget)
	for i := range ls {
		ls[i].service = "model"
	}
	r.list(append(ls, listed{sound, "b", 1, "model"})...)
	for i := range 20 {
		before := received(gone)
		res := r.do(request("POST", "/stream/", fmt.Sprint("r", i), "x", "Prompt: 100"))
		must.Eq(t, 200, res.status)
		must.Eq(t, event(1)+event(2), res.body)
		test.LessEq(t, before+1, received(gone))
	}
	test.LessEq(t, 2, received(gone))
	for _, g := range sound.requests() {
		test.Eq(t, "", g.field("Helper"), test.Sprint("endpoints with doubtful records help nobody"))
	}
}

// TestOneReplacedEndpointMovesNoOther guards against turning the load of a data centre to the
// others because one of its endpoints was replaced.
func TestOneReplacedEndpointMovesNoOther(t *testing.T) {
	replaced := newEndpoint(t, "a9", misdirects())
	others, ls := endpointsOf(t, "a", 3, ok("yes"))
	far := newEndpoint(t, "b0", ok("far"))
	r := newStaleRig(t, largeBudget)
	r.list(append(ls, listed{replaced, "a", 1, ""}, listed{far, "b", 1, ""})...)
	for i := range 100 {
		must.Eq(t, 200, r.do(request("POST", "/once/", fmt.Sprint("r", i), "x")).status)
	}
	test.SliceLen(t, 1, replaced.requests())
	test.SliceLen(t, 1, far.requests(), test.Sprint("the request that got 421"))
	test.Eq(t, 99, received(others))
	test.Zero(t, r.server.staleRecords.groups.Load())
}

// TestMisdirectionIsNotPassedOn guards against an answer 421, which is about the address of an
// endpoint, and against fields of the endpoint in what the caller gets in its place.
func TestMisdirectionIsNotPassedOn(t *testing.T) {
	cases := []struct {
		name    string
		scripts []script
		budget  Budget
		target  string
		status  int
		// sends is the number of sends.
		sends int
	}{
		{"no other endpoint", []script{misdirects()}, Budget{Extra: 100}, "/once/", 503, 1},
		{"all endpoints, of one data centre", []script{misdirects(), misdirects(), misdirects()}, Budget{Extra: 100}, "/once/", 503, 3},
		{"more endpoints than sends", []script{misdirects(), misdirects(), misdirects(), misdirects(), misdirects(), misdirects()}, Budget{Extra: 100}, "/safe/", 503, maxSends},
		{"no retries left", []script{misdirects(), misdirects()}, Budget{}, "/once/", 503, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var es []*scriptedEndpoint
			var ls []listed
			for i, s := range c.scripts {
				es = append(es, newEndpoint(t, fmt.Sprint("e", i), s))
				ls = append(ls, listed{es[i], "a", 1, ""})
			}
			r := newStaleRig(t, func(s *Server) { s.Budget.Ratio, s.Budget.Extra = c.budget.Ratio, c.budget.Extra })
			r.list(ls...)
			res := r.do(request("POST", c.target, "r1", "x"))
			test.Eq(t, c.status, res.status)
			test.Eq(t, "0.20", res.header.Get("Retry-After"))
			test.Eq(t, "", res.body)
			for _, n := range []string{"Signed", "Id", "Not-Run", "X-Own", "Limit"} {
				test.Eq(t, "", res.header.Get(n), test.Sprint(n))
			}
			test.Eq(t, c.sends, received(es))
		})
	}
}

// TestMisdirectionAfterAPossibleRun guards against the promise that a request has not run after
// one of its sends may have.
func TestMisdirectionAfterAPossibleRun(t *testing.T) {
	for _, first := range []script{dropsConnection, fails(500)} {
		e := newEndpoint(t, "e", first, misdirects())
		r := newRig(t, e, e.alias("f"))
		res := r.do(request("POST", "/safe/", "r1", "x"))
		test.Eq(t, http.StatusBadGateway, res.status)
		test.Eq(t, "", res.header.Get("Retry-After"))
		test.SliceLen(t, 2, e.requests())
	}
}

// TestAvoidanceEndsWithANewList guards against avoiding endpoints that a new list confirms, and
// against sends to records whose address belongs to a later start.
func TestAvoidanceEndsWithANewList(t *testing.T) {
	var isBack atomic.Bool
	gone, old := endpointsOf(t, "a", 6, func(c net.Conn, g receivedRequest) bool {
		if isBack.Load() && strings.HasPrefix(g.field("To"), "new") {
			return ok("yes")(c, g)
		}
		return misdirects()(c, g)
	})
	far := newEndpoint(t, "b0", ok("far"))
	requested := atomic.Int64{}
	r := newStaleRig(t, func(s *Server) {
		largeBudget(s)
		s.RequestEndpoints = func() { requested.Add(1) }
	})
	r.list(append(old, listed{far, "b", 1, ""})...)
	send := func(n int) (bodies map[string]int) {
		bodies = map[string]int{}
		for range n {
			res := r.do(request("POST", "/once/", "r", "x"))
			must.Eq(t, 200, res.status)
			bodies[res.body]++
		}
		return bodies
	}
	test.Eq(t, map[string]int{"far": 10}, send(10))
	must.Eq(t, 1, r.server.staleRecords.groups.Load())
	before := received(gone)
	test.LessEq(t, 2, before)
	test.Eq(t, before, int(requested.Load()))

	// The list still has the old records beside the new ones: their endpoints didn't delete
	// them.
	isBack.Store(true)
	both := append(old, listed{far, "b", 1, ""})
	for i, e := range gone {
		both = append(both, listed{e.alias(fmt.Sprint("new", i)), "a", 2, ""})
	}
	r.list(both...)
	test.Eq(t, map[string]int{"yes": 30}, send(30))
	test.Eq(t, before+30, received(gone), test.Sprint("each request is sent once"))
	test.Eq(t, float64(before), r.misdirected())
	test.Zero(t, r.server.staleRecords.groups.Load())
}

// TestMisdirectedEndpointsAreUsedIfThereIsNoOther guards against rejecting requests because all
// endpoints are avoided.
func TestMisdirectedEndpointsAreUsedIfThereIsNoOther(t *testing.T) {
	misdirectsTwice := func() *scriptedEndpoint { return newEndpoint(t, "e", misdirects(), ok("yes")) }
	a, b := misdirectsTwice(), misdirectsTwice()
	b.name = "f"
	r := newStaleRig(t, largeBudget)
	r.list(listed{a, "a", 1, ""}, listed{b, "a", 1, ""})
	test.Eq(t, 503, r.do(request("POST", "/once/", "r1", "x")).status)
	must.Eq(t, 1, r.server.staleRecords.groups.Load())
	test.Eq(t, "yes", r.do(request("POST", "/once/", "r2", "x")).body)
	test.Eq(t, "yes", r.do(request("POST", "/once/", "r3", "x")).body)
}

// TestLimitOfAMisdirectionCountsForNobody guards against taking a field of another endpoint for
// a statement of the one that the record names.
func TestLimitOfAMisdirectionCountsForNobody(t *testing.T) {
	e := newEndpoint(t, "e", misdirects())
	r := newStaleRig(t, largeBudget)
	r.list(listed{e, "a", 1, ""})
	r.do(request("POST", "/once/", "r1", "x"))
	test.Zero(t, r.server.endpointLimits.count.Load())
}

// TestAllDoubtfulEndpointsHelp guards against long prompts that are refused since no
// engine may help another while the records of all of them are doubtful, as when the other data
// centres are evacuated. What is known of a single endpoint counts then as before.
func TestAllDoubtfulEndpointsHelp(t *testing.T) {
	gone, ls := endpointsOf(t, "a", 2, misdirects())
	sound, more := endpointsOf(t, "a", 8, streams(1, 2, true))
	for i := range more {
		sound[i].name = fmt.Sprint("s", i)
	}
	far := newEndpoint(t, "b0", streams(1, 2, true))
	ls = append(ls, more...)
	for i := range ls {
		ls[i].service = "model"
	}
	r := newStaleRig(t, largeBudget)
	r.list(append(ls, listed{far, "b", 1, "model"})...)
	r.server.evacuate("b")
	now := r.server.staleRecords.now()
	r.server.updateStale(func(t *stale.Table) (changes []stale.Change) {
		for _, g := range gone {
			_, changes = t.Misdirect(r.server.Feeds.Endpoints().ByName[ident.EndpointName(g.name)], now, now)
		}
		return changes
	})
	must.Eq(t, 1, r.server.staleRecords.groups.Load())
	for i := range 5 {
		res := r.do(request("POST", "/stream/", fmt.Sprint("r", i), "x", "Prompt: 100000"))
		test.Eq(t, 200, res.status)
	}
	test.Eq(t, 0, received(gone), test.Sprint("these are known to be others"))
	test.SliceEmpty(t, far.requests())
}

// Guards against a request that uses all of its sends in a data centre whose endpoints have all
// gone at once, and is refused although another data centre can serve it.
func TestRequestGoesToAnotherDataCentreAfterOneFailedConnection(t *testing.T) {
	gone, ls := endpointsOf(t, "a", 2*maxSends, ok("no"))
	sound, more := endpointsOf(t, "b", 1, ok("yes"))
	r := newRig(t, sound...)
	r.server.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
		if slices.ContainsFunc(gone, func(e *scriptedEndpoint) bool { return e.address == address }) {
			return nil, errors.New("connection refused")
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	r.list(append(ls, more...)...)
	res := r.do(request("GET", "/safe/", "r1", ""))
	test.Eq(t, 200, res.status)
	test.Eq(t, 1, received(sound))
}
