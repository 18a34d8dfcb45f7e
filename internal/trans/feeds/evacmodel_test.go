package feeds

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

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
