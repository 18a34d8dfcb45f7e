package feeds

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

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
		f.applyConfig(rs, complete, at(0))
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

// evacuationModel is a store, an operator and nodes that read the store and each other.
type evacuationModel struct {
	now clock.Instant
	era uint64
	log []evacuationRecord
	// wanted holds the evacuations that the operator has written and not taken back, with the
	// position after the first record of each; due holds those that the store has lost, with
	// the time at which the operator writes them again.
	wanted map[ident.DataCentre]Position
	due    map[ident.DataCentre]clock.Instant
	nodes  []*modelNode
}

// modelNode follows the store as a follower does.
type modelNode struct {
	evacuations
	cursor   cursor
	observed uint64
	asked    *modelRead
	// held are the wanted evacuations that the node has learned of.
	held ident.Set[ident.DataCentre]
}

// modelRead is a read of the store that a node has begun.
type modelRead struct {
	began   clock.Instant
	from    ident.Offset
	served  bool
	page    Page
	records []evacuationRecord
}

func (n *modelNode) observe(era uint64, now clock.Instant) {
	if n.observed != 0 && era > n.observed {
		n.beginGrace(era, now)
	}
	n.observed = max(n.observed, era)
}

func (m *evacuationModel) newest() []evacuationRecord {
	set := ident.Set[ident.DataCentre]{}
	for _, r := range m.log {
		if r.deleted {
			delete(set, r.dataCentre)
		} else {
			set.Add(r.dataCentre)
		}
	}
	return began(set.Sorted()...)
}

// ask begins a read of a node, and answer ends it, with what the store had at a time between.
func (m *evacuationModel) ask(n *modelNode) {
	n.asked = &modelRead{began: m.now, from: n.cursor.next}
}

func (m *evacuationModel) serve(n *modelNode) {
	r := n.asked
	if r == nil || r.served {
		return
	}
	r.served = true
	r.page = Page{Era: m.era, Next: ident.Offset(len(m.log))}
	switch {
	case r.from == unknownOffset:
		r.records = m.newest()
	case int(r.from) <= len(m.log):
		r.records = slices.Clone(m.log[r.from:])
	}
}

func (m *evacuationModel) answer(n *modelNode) {
	r := n.asked
	if r == nil || !r.served {
		return
	}
	n.asked = nil
	if r.from != n.cursor.next {
		// The node has restarted its follower meanwhile.
		return
	}
	n.observe(r.page.Era, m.now)
	switch kind := n.cursor.advance(r.page); kind {
	case readAgain:
	case outdated:
		n.cursor.next = unknownOffset
	default:
		n.evacuations.read(r.records, kind == newest, Position{n.cursor.era, n.cursor.next}, r.began, m.now)
	}
}

// read reads the store at a node at once, again if it has lost records.
func (m *evacuationModel) read(n *modelNode) {
	for range 2 {
		m.ask(n)
		m.serve(n)
		m.answer(n)
	}
}

// pull takes the set of a peer; the call took some time.
func (m *evacuationModel) pull(n, peer *modelNode, took time.Duration) {
	if !peer.known {
		return
	}
	n.observe(peer.observed, m.now)
	o := peer.copyForPeer()
	o.LapseAt, o.ConfirmedAt = o.LapseAt.Add(-took), o.ConfirmedAt.Add(-took)
	n.merge(o, m.now)
}

// write appends a record of the operator.
func (m *evacuationModel) write(r evacuationRecord) {
	m.log = append(m.log, r)
	delete(m.due, r.dataCentre)
	if r.deleted {
		delete(m.wanted, r.dataCentre)
	} else if _, ok := m.wanted[r.dataCentre]; !ok {
		m.wanted[r.dataCentre] = Position{m.era, ident.Offset(len(m.log))}
	}
}

// lose brings the store back as an older copy.
func (m *evacuationModel) lose(records int) {
	m.log = m.log[:len(m.log)-records]
	m.era++
	shown := ident.Set[ident.DataCentre]{}
	for _, r := range m.newest() {
		shown.Add(r.dataCentre)
	}
	for n := range m.wanted {
		if !shown.Has(n) {
			m.due[n] = m.now.Add(2 * time.Second)
		}
	}
	for n := range shown {
		if _, ok := m.wanted[n]; !ok {
			// The operator takes it back again.
			m.write(ended(n))
		}
	}
}

// advance lets time pass, and the operator write what the store lost.
func (m *evacuationModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for n, due := range m.due {
		if m.now >= due {
			m.write(evacuationRecord{dataCentre: n})
		}
	}
}

// check fails if a node has dropped an evacuation that the operator wants.
func (m *evacuationModel) check(t *rapid.T, what string) {
	for i, n := range m.nodes {
		for c, since := range m.wanted {
			if n.inForce.Has(c) && !n.position.isBefore(since) {
				n.held.Add(c)
			} else if n.held.Has(c) && !n.inForce.Has(c) {
				t.Fatalf("after %s, node %d has dropped %s: %v, store %v, wanted %v", what, i, c, n, m.log, m.wanted)
			}
		}
		for c := range n.held {
			if _, ok := m.wanted[c]; !ok {
				delete(n.held, c)
			}
		}
	}
}

// Guards against orders of reads, answers of peers and losses of the store in which a node drops
// an evacuation that is in force, or keeps one for ever that was taken back.
func TestNoOrderOfMessagesDropsAnEvacuation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 2
		m := &evacuationModel{now: at(0), era: 1, wanted: map[ident.DataCentre]Position{}, due: map[ident.DataCentre]clock.Instant{}}
		newNode := func() *modelNode {
			return &modelNode{cursor: cursor{next: unknownOffset}, held: ident.Set[ident.DataCentre]{}}
		}
		for range nodes {
			m.nodes = append(m.nodes, newNode())
		}
		node := rapid.IntRange(0, nodes-1)
		name := rapid.SampledFrom([]ident.DataCentre{"a", "b"})
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			what := rapid.SampledFrom([]string{"evacuate", "take back", "lose", "ask", "ask", "serve", "serve", "answer", "answer", "read", "pull", "pull", "pull", "wait", "restart", "resume"}).Draw(t, "step")
			switch what {
			case "evacuate":
				m.write(evacuationRecord{dataCentre: name.Draw(t, "name")})
			case "take back":
				m.write(ended(name.Draw(t, "name")))
			case "lose":
				m.lose(rapid.IntRange(0, min(3, len(m.log))).Draw(t, "records"))
			case "ask":
				m.ask(m.nodes[node.Draw(t, "asking")])
			case "serve":
				m.serve(m.nodes[node.Draw(t, "served")])
			case "answer":
				m.answer(m.nodes[node.Draw(t, "answered")])
			case "read":
				m.read(m.nodes[node.Draw(t, "reader")])
			case "pull":
				m.pull(m.nodes[node.Draw(t, "puller")], m.nodes[node.Draw(t, "peer")], time.Duration(rapid.SampledFrom([]int{0, 0, 1, 80}).Draw(t, "took"))*time.Millisecond)
			case "wait":
				m.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
			case "restart":
				m.nodes[node.Draw(t, "restarted")] = newNode()
			case "resume":
				// The node turns to the store again, after the set that it has.
				if n := m.nodes[node.Draw(t, "resumed")]; n.known {
					n.cursor = cursor{next: n.position.Next, era: n.position.Era, resumed: true}
				}
			}
			m.advance(time.Millisecond)
			m.check(t, what)
		}
		for range 4 {
			m.advance(2 * time.Second)
			for _, n := range m.nodes {
				m.read(n)
			}
		}
		for i, n := range m.nodes {
			must.Eq(t, ident.SortedKeys(m.wanted), n.inForce.Sorted(), must.Sprint("node ", i))
		}
	})
}
