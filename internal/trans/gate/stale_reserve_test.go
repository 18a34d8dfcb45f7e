package gate

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// replacedRig returns a rig with engines in data centre a, where all reservations are answered
// with 421, and others in b.
func replacedRig(t *testing.T, configure func(*Server)) (r *rig, replaced, sound []*scriptedEndpoint) {
	replaced, ls := endpointsOf(t, "a", 8, streams(1, 2, true))
	sound, more := endpointsOf(t, "b", 12, streams(1, 2, true))
	ls = append(ls, more...)
	for i := range ls {
		ls[i].service = "model"
	}
	r = newStaleRig(t, func(s *Server) {
		largeBudget(s)
		configure(s)
	})
	r.list(ls...)
	r.reserver.replaced = ident.Set[ident.EndpointName]{}
	for _, e := range replaced {
		r.reserver.replaced.Add(ident.EndpointName(e.name))
	}
	return r, replaced, sound
}

// Guards against prompts that are refused, since their memory is reserved again and again in a data
// centre whose endpoints are others than listed.
func TestMisdirectedReservationLeavesTheDataCentre(t *testing.T) {
	var listsRequested atomic.Int64
	r, replaced, sound := replacedRig(t, func(s *Server) {
		s.RequestEndpoints = func() { listsRequested.Add(1) }
	})
	for i := range 20 {
		res := r.do(request("POST", "/stream/", fmt.Sprint("r", i), "x", "Prompt: 150000"))
		must.Eq(t, 200, res.status)
	}
	test.Eq(t, 1, r.server.staleRecords.groups.Load())
	test.Positive(t, r.misdirected())
	test.Positive(t, listsRequested.Load())
	for _, e := range replaced {
		n := ident.EndpointName(e.name)
		test.False(t, r.server.endpointHealth.isSuspect(n, time.Now()), test.Sprint("not a failure of the endpoint"))
		for _, s := range append(sound, replaced...) {
			for _, g := range s.requests() {
				test.False(t, strings.HasPrefix(g.field("Helper"), e.address), test.Sprint(e.name, " helps"))
			}
		}
	}
}

// Guards against a second 421 from the same data centre for one prompt, although no other node or
// request has met one.
func TestMisdirectedReservationIsRememberedByTheRequest(t *testing.T) {
	r, _, _ := replacedRig(t, func(*Server) {})
	list := r.server.Feeds.Endpoints()
	x := &exchange{server: r.server}
	a := &attempt{exchange: x, sentAt: r.server.staleRecords.now(), choice: place.Choice{Primary: list.ByName["b0"], Helpers: []*topol.Endpoint{list.ByName["a0"], list.ByName["b1"]}}}
	a.outcome = outcome{result: unreserved, unreservedEngines: map[ident.EndpointName]error{"a0": ErrMisdirected, "b1": ErrNoMemory}}
	x.recordDoubts(a)
	doubtful := x.doubtful(list.ByService["model"])
	test.Eq(t, 8, len(doubtful))
	for n := range doubtful {
		test.StrHasPrefix(t, "a", string(n))
	}
	r.list(listed{&scriptedEndpoint{name: "a0"}, "a", 1, "model"})
	test.Zero(t, len(x.doubtful(list.ByService["model"])), test.Sprint("a later list is in force"))
}

// Guards against a renewal whose answer 421 says nothing about the record.
func TestMisdirectedRenewalIsEvidence(t *testing.T) {
	reserver := &fakeReserver{}
	s := &Server{Reserver: reserver, Logger: zerolog.Nop(), Node: "n", Feeds: &feeds.Feeds{}}
	e := &topol.Endpoint{Name: "a0", Service: "model", Address: "x", DataCentre: "a"}
	rs, _ := s.reserve(t.Context(), place.Choice{Helpers: []*topol.Endpoint{e}, Reservations: []ident.Tokens{1000}})
	must.NotNil(t, rs)
	defer rs.stopAndRelease()
	test.Zero(t, s.staleRecords.count.Load())
	reserver.mu.Lock()
	reserver.replaced = ident.SetOf(e.Name)
	reserver.mu.Unlock()
	test.False(t, rs.renew(t.Context()))
	test.True(t, s.staleRecords.table.IsMisdirected(e))
}
