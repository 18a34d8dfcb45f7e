package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// setEvacuations gives a node evacuations at a position in the first era, which is also that of
// its configuration.
func (p *testNode) setEvacuations(next ident.Offset, names ...ident.DataCentre) {
	at := feeds.Position{Era: 1, Next: next}
	p.feeds.ObserveEra(1)
	p.feeds.MergeEvacuations(feeds.Evacuations{InForce: names, At: at, ConfirmedAt: clock.Now()}, at)
}

func TestNodesFetchEvacuationsFromReaders(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(7, 0)
	ps[0].setEvacuations(5, "x", "y")
	ps[2].pull()
	test.Eq(t, []ident.DataCentre{"x", "y"}, ps[2].feeds.Evacuated().Sorted())
	test.True(t, ps[2].servedByReader(feeds.Configuration))
	_, resume, _ := ps[2].feeds.EvacuationState()
	test.Eq(t, feeds.Position{Era: 1, Next: 5}, resume)
	ps[0].setEvacuations(6, "y")
	ps[2].pull()
	test.Eq(t, []ident.DataCentre{"y"}, ps[2].feeds.Evacuated().Sorted())
	// A reader takes what the other one got earlier.
	ps[1].setState(7, 0)
	ps[1].setEvacuations(7, "z")
	ps[0].pull()
	test.Eq(t, []ident.DataCentre{"z"}, ps[0].feeds.Evacuated().Sorted())
}

// Guards against a node that takes the state of a node of an older build for fresh, and goes on
// reading behind records of evacuations that it has never got.
func TestStateWithoutEvacuationsIsNotFresh(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	p.feeds.UpdateCatalog(&topol.Catalog{Version: 1})
	st := relay.State{Era: 1, Version: 1, Proven: true, ConfigEra: 1, ConfigNext: 9, Listed: true, Endpoints: []topol.Endpoint{{Name: "e"}}, List: 1}
	fresh := p.applyState(st, clock.Now())
	test.False(t, fresh[feeds.Configuration])
	test.True(t, fresh[feeds.Endpoints])
	test.False(t, p.feeds.EvacuationsKnown())
	_, resume, _ := p.feeds.EvacuationState()
	test.Eq(t, feeds.Position{}, resume)

	st.EvacuationsKnown, st.EvacuationsEra, st.EvacuationsNext, st.EvacuationsAge = true, 1, 9, freshConfigAge
	test.False(t, p.applyState(st, clock.Now())[feeds.Configuration], test.Sprint("confirmed too long ago"))
	st.EvacuationsAge = 0
	test.True(t, p.applyState(st, clock.Now())[feeds.Configuration])
	_, resume, _ = p.feeds.EvacuationState()
	test.Eq(t, feeds.Position{Era: 1, Next: 9}, resume)
}

// Guards against a position that is taken without the configuration before it: a node whose
// version is behind would go on reading after the records of newer ones.
func TestPositionIsNotTakenWithAnotherVersion(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	p.feeds.UpdateCatalog(&topol.Catalog{Version: 1})
	p.applyState(relay.State{
		Era: 1, Version: 2, Proven: true, ConfigEra: 1, ConfigNext: 9,
		EvacuationsKnown: true, Evacuated: []ident.DataCentre{"x"}, EvacuationsEra: 1, EvacuationsNext: 9,
	}, clock.Now())
	test.Eq(t, []ident.DataCentre{"x"}, p.feeds.Evacuated().Sorted(), test.Sprint("evacuations are in force at once"))
	_, resume, _ := p.feeds.EvacuationState()
	test.Eq(t, feeds.Position{}, resume)
}

func TestNodeWithoutEvacuationsIsNotReady(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	n := &Node{feeds: p.feeds}
	p.feeds.UpdateCatalog(&topol.Catalog{Version: 1})
	p.feeds.UpdateEndpoints(nil, clock.Now())
	test.False(t, n.ready())
	p.setEvacuations(1)
	test.True(t, n.ready())
}

// Guards against an evacuation that the store has lost and that lapses at a reader: a node that
// starts takes it with its end.
func TestLapsingEvacuationsArePassedOn(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(7, 0)
	ps[0].setEvacuations(5, "x")
	ps[0].feeds.ObserveEra(2)
	ps[0].feeds.MergeEvacuations(feeds.Evacuations{At: feeds.Position{Era: 2, Next: 1}, ConfirmedAt: clock.Now()}, feeds.Position{})
	must.Eq(t, []ident.DataCentre{"x"}, ps[0].feeds.Evacuated().Sorted())
	ps[2].pull()
	test.Eq(t, []ident.DataCentre{"x"}, ps[2].feeds.Evacuated().Sorted())
	e, _, _ := ps[2].feeds.EvacuationState()
	test.Eq(t, []ident.DataCentre{"x"}, e.Lapsing)
	left := e.LapseAt.Sub(clock.Now())
	test.Between(t, 0, left, 3*time.Second)
}
