package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/vqueue"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

// deferrable returns a request with a long prompt whose caller waited before.
func deferrable(r *rig, body string, waited time.Duration) *exchange {
	c := r.server.Feeds.Catalog()
	route := *c.Match("h.example", "/stream/")
	route.Gap, route.Target = time.Second, time.Second
	x := &exchange{
		server: r.server, catalog: c, route: &route, service: c.Services["model"], workspace: &topol.Workspace{Name: "ana"},
		request: &http1.Request{Target: []byte("/stream/")}, body: []byte(body), arrived: time.Now(), tried: ident.Set[ident.EndpointName]{},
	}
	x.reqHeader.Prompt = 80_000
	if waited > 0 {
		x.reqHeader.TimeLeft = x.route.Timeout - waited
	}
	x.deadline = x.arrived.Add(x.route.Timeout - waited)
	return x
}

// queuePrompts adds prompts in flight, one at each engine, whose callers
// tolerate pauses.
func queuePrompts(r *rig, es []*scriptedEndpoint) {
	now := time.Now()
	for i, e := range es {
		r.server.InFlight.Put(works.Request{
			Node: "n2", ID: works.ID(i + 1), First: ident.EndpointName(e.name + "m"), Prompt: 4_000, Share: 4_000, Gap: time.Second, Target: 2 * time.Second, Since: now,
		})
	}
}

func (x *exchange) placeNow() (place.Choice, place.Request, error) {
	now := time.Now()
	return x.place(x.candidates(now), now)
}

// Guards against a caller who returns as told and is rejected for being late: the bound on
// what others may lose is that of a prompt which keeps its place.
func TestDeferredCallerIsNotRejectedForBeingLate(t *testing.T) {
	const waited = 3500 * time.Millisecond
	es := twelveEngines(t, true)
	r := newRig(t, es...)
	x := deferrable(r, "x", waited)
	_, late, _ := x.placeNow()
	test.True(t, late.IsRetry)
	test.False(t, late.KeepsPlace, test.Sprint("unknown"))
	now := time.Now()
	r.server.deferred.record(bysize.Decision{
		Route: "stream", Request: bysize.RequestKey(x.digest()), Prompt: 80_000, At: now.Add(-waited), Service: "model", Workspace: "ana", Retry: waited,
	}, x.service.Engine, now)
	x = deferrable(r, "x", waited)
	_, kept, _ := x.placeNow()
	test.True(t, kept.KeepsPlace)
	queuePrompts(r, es)
	st := x.serviceState(x.candidates(now), time.Now())
	_, err := place.Choose(st, late)
	must.ErrorIs(t, err, place.ErrDeferred)
	_, err = place.Choose(st, kept)
	must.NoError(t, err)
}

// Guards against callers who are told times that no node knows when they return: the node
// announces the workspace and the time, and a peer that hears of them knows the place.
func TestDeferralIsAnnounced(t *testing.T) {
	var announced []bysize.Decision
	r := newConfiguredRig(t, 0, func(s *Server) { s.AnnounceDecision = func(d bysize.Decision) { announced = append(announced, d) } }, twelveEngines(t, true)...)
	x := deferrable(r, "x", 0)
	c := place.Choice{Estimate: time.Second}
	told := x.retryAfter(place.ErrDeferred, c, x.placeRequest(time.Now()))
	x.recordRefused(place.ErrDeferred, told)
	must.SliceLen(t, 1, announced)
	d := announced[0]
	test.Eq(t, ident.WorkspaceName("ana"), d.Workspace)
	test.Eq(t, ident.ServiceName("model"), d.Service)
	test.Eq(t, told, d.Retry)

	peer := newRig(t, twelveEngines(t, true)...)
	d.At = d.At.Add(-told)
	peer.server.AddPeerDecisions([]bysize.Decision{d})
	test.Eq(t, 1, peer.server.deferred.expire(time.Now()))
	back := deferrable(peer, "x", told)
	_, req, err := back.placeNow()
	must.NoError(t, err)
	test.True(t, req.KeepsPlace)
	back.recordDecision(true)
	test.Eq(t, 0, peer.server.deferred.expire(time.Now()))
	test.Eq(t, 1, counterValue(t, peer.server, "laburnum_deferred_returns_total", "admitted", "kept"))
}

// Guards against callers who come back in vain: one that can't be served before its deadline is
// told a time after it, and has no place.
func TestCallerWhoCannotBeServedIsToldATimeAfterItsDeadline(t *testing.T) {
	var announced []bysize.Decision
	r := newConfiguredRig(t, 0, func(s *Server) { s.AnnounceDecision = func(d bysize.Decision) { announced = append(announced, d) } }, twelveEngines(t, true)...)
	x := deferrable(r, "x", time.Second)
	q := x.placeRequest(time.Now())
	told := x.retryAfter(place.ErrDeferred, place.Choice{Estimate: 3 * time.Second}, q)
	test.GreaterEq(t, q.TimeLeft, told)
	x.recordRefused(place.ErrDeferred, told)
	must.SliceLen(t, 1, announced)
	test.Zero(t, announced[0].Retry)
	test.Eq(t, 0, r.server.deferred.expire(time.Now()))
}

// Guards against decisions of older builds that count in a queue: they name no workspace and no
// time. That a prompt was admitted ends its entry.
func TestDecisionsOfOlderBuildsAddNoEntry(t *testing.T) {
	r := newRig(t, newEndpoint(t, "a", ok("")))
	now := time.Now()
	r.server.AddPeerDecisions([]bysize.Decision{{Route: "stream", Request: 7, Prompt: 80_000, At: now}})
	test.Eq(t, 0, r.server.deferred.expire(now))
	r.server.AddPeerDecisions([]bysize.Decision{{Route: "stream", Request: 7, Prompt: 80_000, At: now, Service: "model", Workspace: "ana", Retry: time.Second}})
	test.Eq(t, 1, r.server.deferred.expire(now))
	r.server.AddPeerDecisions([]bysize.Decision{{Route: "stream", Request: 7, Prompt: 80_000, Admitted: true, At: time.Now()}})
	test.Eq(t, 0, r.server.deferred.expire(now))
}

// Guards against changes on services where nothing is deferred: no first try yields, and no
// prompt keeps a place.
func TestNothingChangesWhereNothingIsDeferred(t *testing.T) {
	r := newRig(t, twelveEngines(t, true)...)
	x := deferrable(r, "x", 0)
	x.recordDecision(true)
	_, req, err := deferrable(r, "y", 0).placeNow()
	must.NoError(t, err)
	test.False(t, req.KeepsPlace)
	test.Zero(t, req.Yield)
	test.Eq(t, vqueue.NoPlace, x.deferral.place)
}
