package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// chooseInSlowStart returns the endpoint that a request gets while e is in slow start with a bound of
// two, with the given requests in flight.
func (r *rig) chooseInSlowStart(t *testing.T, service ident.ServiceName, req place.Request, inFlight ...works.Request) (place.Choice, *exchange) {
	now := time.Now()
	r.server.observeStarts(now)
	x := &exchange{server: r.server}
	st := place.ServiceState{
		Now: now, Endpoints: r.server.Feeds.Endpoints().ByService[service], Engine: r.server.Feeds.Catalog().Services[service].Engine, InFlight: inFlight,
		Avoid:   func(ident.EndpointName) bool { return false },
		Suspect: func(ident.EndpointName) bool { return false },
		Random:  func() float64 { return 0.5 },
	}
	x.boundSlow(&st)
	must.NotNil(t, st.MaxInFlight)
	c, err := x.chooseFrom(st, req)
	must.NoError(t, err)
	return c, x
}

// Guards against answers that are late since slow start leaves an endpoint idle which would answer
// in time.
func TestSlowStartYieldsToTheTarget(t *testing.T) {
	many := func(n int, w works.Request) []works.Request {
		ws := make([]works.Request, n)
		for i := range ws {
			w.ID, w.Since = works.ID(i+1), time.Now()
			ws[i] = w
		}
		return ws
	}
	at := func(n ident.EndpointName) works.Request { return works.Request{Node: "n2", First: n} }
	decodes := func(n ident.EndpointName) works.Request {
		return works.Request{Node: "n2", First: n, Prompt: 500, Share: 500, Gap: time.Second, Target: time.Second, Writing: true}
	}
	prefills := func(n ident.EndpointName, prompt ident.Tokens) works.Request {
		return works.Request{Node: "n2", First: n, Prompt: prompt, Share: prompt, Gap: time.Second, Target: time.Second, Since: time.Now()}
	}
	prompt := place.Request{Prompt: 5000, Output: 10, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	late := prompt
	late.Target = time.Millisecond
	for _, c := range []struct {
		name     string
		service  ident.ServiceName
		req      place.Request
		inFlight []works.Request
		want     ident.EndpointName
		isBeyond bool
	}{
		{"the other is idle", "model", prompt, many(2, decodes("em")), "fm", false},
		{"the other would be late", "model", prompt, append(many(2, decodes("em")), prefills("fm", 60_000)), "em", true},
		{"both would be late", "model", late, append(many(2, decodes("em")), prefills("fm", 60_000)), "fm", false},
		{"there is room within the bound", "model", prompt, append(many(1, decodes("em")), prefills("fm", 60_000)), "em", false},
		{"the other has a slot", "plain", place.Request{DataCentre: "a"}, append(many(2, at("ep")), many(7, at("fp"))...), "fp", false},
		{"the other has no slot", "plain", place.Request{DataCentre: "a"}, append(many(2, at("ep")), many(8, at("fp"))...), "ep", true},
		{"neither has a slot", "plain", place.Request{DataCentre: "a"}, append(many(8, at("ep")), many(8, at("fp"))...), "fp", false},
	} {
		r, h, _, _ := slowRig(t, "/once/")
		close(h.release)
		for _, n := range []ident.EndpointName{"fp", "fm"} {
			e := r.endpoint(n)
			e.Slots = 8
			r.setEndpoint(e)
		}
		got, x := r.chooseInSlowStart(t, c.service, c.req, c.inFlight...)
		test.Eq(t, c.want, got.Primary.Name, test.Sprint(c.name))
		e := r.endpoint(c.want)
		turn, ok := x.takeSlow(&e, time.Now())
		test.True(t, ok, test.Sprint(c.name))
		x.server.releaseSlow(turn)
		test.Eq(t, c.isBeyond, x.ignoresSlowStart, test.Sprint(c.name))
	}
}

// Guards against the allowance of a cold endpoint being exceeded for a request that is late
// elsewhere.
func TestAllowanceHoldsForLateRequests(t *testing.T) {
	e, f := newEndpoint(t, "e", ok("yes")), newEndpoint(t, "f", ok("yes"))
	r := newColdRig(t, 0.1, e, f).withoutSlowStart()
	r.withTargets(time.Millisecond)
	started := r.endpoint("ep")
	started.Born++
	r.setEndpoint(started)
	for i := range works.ID(20) {
		r.server.InFlight.Put(works.Request{ID: i + 1, Node: "n2", First: "fp", Since: time.Now()})
	}
	for range 10 {
		must.Eq(t, 200, r.do(patient(request("POST", "/once/", "r", ""))).status)
	}
	test.SliceEmpty(t, e.requests())
	test.SliceLen(t, 10, f.requests())
}
