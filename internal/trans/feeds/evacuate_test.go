package feeds

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// began and ended return records of evacuations.
func began(names ...ident.DataCentre) (rs []evacuationRecord) {
	for _, n := range names {
		rs = append(rs, evacuationRecord{dataCentre: n})
	}
	return rs
}

func ended(n ident.DataCentre) evacuationRecord {
	return evacuationRecord{dataCentre: n, deleted: true}
}

func (e *evacuations) String() string { return fmt.Sprint(e.inForce.Sorted()) }

// known returns a set that was read whole at position 5 of era 1.
func knownEvacuations(names ...ident.DataCentre) *evacuations {
	e := &evacuations{}
	e.read(began(names...), true, Position{1, 5}, at(0), at(0))
	return e
}

func TestEvacuationsFollowTheRecords(t *testing.T) {
	e := &evacuations{}
	e.read(began("x"), false, Position{1, 5}, at(0), at(0))
	test.False(t, e.known, test.Sprint("single records don't tell of the others"))
	e.read(nil, true, Position{1, 5}, at(0), at(0))
	test.True(t, e.known)
	e.read(append(began("a", "b"), ended("a")), false, Position{1, 8}, at(1), at(1))
	test.Eq(t, "[b]", e.String())
	e.read(append([]evacuationRecord{ended("b")}, began("b", "c")...), false, Position{1, 11}, at(2), at(2))
	test.Eq(t, "[b c]", e.String())
	e.read(began("c"), true, Position{1, 12}, at(3), at(3))
	test.Eq(t, "[c]", e.String(), test.Sprint("a complete read replaces the set"))
}

// Guards against requests to an evacuated data centre after the store came back as a copy that
// lacks the evacuation: the operator writes it again within 2 s.
func TestLostEvacuationStaysForTheGracePeriod(t *testing.T) {
	lost := func() *evacuations {
		e := knownEvacuations("a", "b", "c")
		e.beginGrace(2, at(time.Second))
		e.read(began("b"), true, Position{2, 3}, at(time.Second), at(time.Second))
		must.Eq(t, "[a b c]", e.String())
		return e
	}
	e := lost()
	e.read(began("a"), false, Position{2, 4}, at(2*time.Second), at(2*time.Second))
	e.read(nil, false, Position{2, 4}, at(time.Second+outageGrace-1), at(time.Minute))
	test.Eq(t, "[a b c]", e.String(), test.Sprint("the read began within the grace period"))
	e.read(nil, false, Position{2, 4}, at(time.Second+outageGrace), at(time.Minute))
	test.Eq(t, "[a b]", e.String(), test.Sprint("a was written again"))
	e = lost()
	e.read([]evacuationRecord{ended("a")}, false, Position{2, 4}, at(2*time.Second), at(2*time.Second))
	test.Eq(t, "[b c]", e.String(), test.Sprint("the operator has taken it back"))
}

// Guards against an evacuation that is never taken back at a node that started after the store
// had lost its record: no read shows that it ends. A node that has removed it before doesn't take
// it again.
func TestLapsingEvacuationsOfAPeerEnd(t *testing.T) {
	peer := knownEvacuations("a")
	peer.beginGrace(2, at(time.Second))
	peer.read(nil, true, Position{2, 3}, at(time.Second), at(time.Second))
	for _, e := range []*evacuations{{}, {known: true, inForce: ident.Set[ident.DataCentre]{}, lapsing: ident.Set[ident.DataCentre]{}, position: Position{2, 3}}} {
		must.True(t, e.merge(peer.copyForPeer(), at(time.Minute)))
		test.Eq(t, "[a]", e.String())
		e.read(nil, false, Position{2, 3}, at(time.Second+outageGrace), at(time.Minute))
		test.Eq(t, "[]", e.String())
		must.True(t, e.merge(peer.copyForPeer(), at(time.Minute)))
		test.Eq(t, "[]", e.String())
	}
}

func TestOnlyNewerEvacuationsOfAPeerAreTaken(t *testing.T) {
	cases := []struct {
		name string
		peer Evacuations
		want string
		// merged is set unless the peer's set is older.
		merged bool
	}{
		{"later position, earlier confirmation", Evacuations{InForce: []ident.DataCentre{"z"}, At: Position{1, 6}, ConfirmedAt: at(-time.Second)}, "[z]", true},
		{"earlier position, later confirmation", Evacuations{InForce: []ident.DataCentre{"z"}, At: Position{1, 4}, ConfirmedAt: at(time.Second)}, "[a]", false},
		{"later era", Evacuations{InForce: []ident.DataCentre{"z"}, At: Position{2, 1}, ConfirmedAt: at(time.Second)}, "[a z]", true},
		{"no era, later confirmation", Evacuations{InForce: []ident.DataCentre{"z"}, ConfirmedAt: at(time.Second)}, "[z]", true},
		{"no era, same confirmation", Evacuations{InForce: []ident.DataCentre{"z"}, ConfirmedAt: at(0)}, "[a]", false},
		{"same position", Evacuations{InForce: []ident.DataCentre{"a"}, At: Position{1, 5}, ConfirmedAt: at(time.Second)}, "[a]", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := knownEvacuations("a")
			merged := e.merge(c.peer, at(time.Minute))
			test.Eq(t, c.want, e.String())
			test.Eq(t, c.merged, merged)
		})
	}
}

// Guards against an evacuation that is lost because a late page of this node's own read, or an
// older set, replaces what a peer has told.
func TestEarlierPagesChangeNothing(t *testing.T) {
	e := knownEvacuations()
	must.True(t, e.merge(Evacuations{InForce: []ident.DataCentre{"a"}, At: Position{1, 9}, ConfirmedAt: at(time.Second)}, at(time.Second)))
	e.read(append(began("a"), ended("a")), false, Position{1, 8}, at(2*time.Second), at(2*time.Second))
	test.Eq(t, "[a]", e.String())
	test.Eq(t, at(time.Second), e.confirmedAt, test.Sprint("an older state confirms nothing"))
	e.read(nil, true, Position{1, 7}, at(3*time.Second), at(3*time.Second))
	test.Eq(t, "[a]", e.String(), test.Sprint("the store shows an older state"))
	e.read(append(began("a"), ended("a")), false, Position{1, 12}, at(4*time.Second), at(4*time.Second))
	test.Eq(t, "[]", e.String())
}

// Guards against a node that goes on reading after records of evacuations that it doesn't have:
// it would never learn of them.
func TestPositionIsTakenOnlyWithTheEvacuations(t *testing.T) {
	f := newFeeds()
	f.MergeEvacuations(Evacuations{InForce: []ident.DataCentre{"a"}, At: Position{1, 5}, ConfirmedAt: at(0)}, Position{1, 5})
	f.MergeEvacuations(Evacuations{At: Position{1, 4}, ConfirmedAt: at(time.Second)}, Position{1, 9})
	_, resume, _ := f.EvacuationState()
	test.Eq(t, Position{1, 5}, resume)
	f.MergeEvacuations(Evacuations{At: Position{1, 7}, ConfirmedAt: at(time.Second)}, Position{})
	_, resume, _ = f.EvacuationState()
	test.Eq(t, Position{1, 5}, resume, test.Sprint("records are read again"))
	test.Eq(t, 0, len(f.Evacuated()))
}

// lineWriter collects log lines.
type lineWriter struct{ strings.Builder }

func TestEvacuationsAreLoggedOnce(t *testing.T) {
	lines := &lineWriter{}
	f := &Feeds{Decoder: plainDecoder{}, Logger: zerolog.New(lines)}
	test.False(t, f.EvacuationsKnown())
	page := func(complete bool, next ident.Offset, rs ...Record) {
		f.applyConfig(rs, complete, at(0), at(0))
		f.applyEvacuations(rs, complete, Position{1, next}, at(0))
	}
	page(true, 3, record("config", "1"), record("evacuate/a", "junk"), record("evacuate/b", ""))
	page(false, 4, record("evacuate/a", "{}"))
	test.Eq(t, []ident.DataCentre{"a", "b"}, f.Evacuated().Sorted())
	page(false, 5, Record{Key: "evacuate/a"})
	test.Eq(t, []ident.DataCentre{"b"}, f.Evacuated().Sorted())
	test.Eq(t, 2, strings.Count(lines.String(), "in force\"}\n")-strings.Count(lines.String(), "configuration in force"))
	test.Eq(t, 1, strings.Count(lines.String(), "taken back"))
	test.Eq(t, 0, strings.Count(lines.String(), "cannot decode"))
}

// Guards against an evacuation that ends since the store doesn't show it for a while after an
// outage or a loss, and one that never ends although it was taken back meanwhile.
func TestMissingEvacuationsStayAfterAnOutageOrLoss(t *testing.T) {
	cases := []struct {
		name  string
		event func(*Feeds)
		stays bool
	}{
		{"neither", func(*Feeds) {}, false},
		{"short outage", func(f *Feeds) { f.recordRecovery(Configuration, clock.Now(), minOutage/2) }, false},
		{"outage", func(f *Feeds) { f.recordRecovery(Configuration, clock.Now(), minOutage) }, true},
		{"outage of another stream", func(f *Feeds) { f.recordRecovery(Endpoints, clock.Now(), minOutage) }, false},
		{"new era", func(f *Feeds) { f.ObserveEra(2) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFeeds()
			f.ObserveEra(1)
			page := func(at clock.Instant, rs ...Record) { f.applyEvacuations(rs, true, Position{f.Era(), 1}, at) }
			page(clock.Now(), record("evacuate/a", "{}"))
			c.event(f)
			page(clock.Now())
			test.Eq(t, c.stays, f.Evacuated().Has("a"))
			test.Eq(t, c.stays, f.configWaitNow(time.Hour) <= outageGrace, test.Sprint("the end of the grace period is looked for"))
			page(clock.Now().Add(outageGrace))
			test.False(t, f.Evacuated().Has("a"))
		})
	}
}
