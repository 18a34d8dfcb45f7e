package feeds

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against CONFIG: a node takes an older copy of the store for the newest state, and accepts
// keys in it that were taken away, since it has just started and no peer knows better, or since it
// was cut off when the key was taken away.
func TestCopyOfTheStoreConfirmsNoConfiguration(t *testing.T) {
	old := Page{Records: []Record{record("config", "1")}, Next: 1, End: 1, Era: 2}
	cases := []struct {
		name      string
		bootstrap bool
		pages     []Page
		// confirmed is set if the last page confirms the configuration.
		confirmed bool
	}{
		{"never lost records", false, []Page{{Records: old.Records, Next: 1, End: 1, Era: 1}}, true},
		{"tells no era", false, []Page{{Records: old.Records, Next: 1, End: 1}}, true},
		{"lost records before the start", false, []Page{old}, false},
		{"lost records before the first start of all", true, []Page{old}, true},
		{"loses records", false, []Page{{Records: old.Records, Next: 5, End: 5, Era: 1}, {Next: 1, End: 1, Era: 2}, old}, false},
		{"loses records after the first start of all", true, []Page{{Records: old.Records, Next: 5, End: 5, Era: 1}, {Next: 1, End: 1, Era: 2}, old}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSource{}
				// The read of the last page began between these calls of the source.
				var previous, last clock.Instant
				for _, p := range c.pages {
					s.responses = append(s.responses, func() (Page, error) {
						previous, last = last, clock.Now()
						return p, nil
					})
				}
				f := newFeeds()
				f.Source, f.Bootstrap = s, c.bootstrap
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go (&follower{feeds: f, stream: Configuration, wait: configWait, apply: f.applyConfig}).run(ctx)
				synctest.Wait()
				must.GreaterEq(t, len(c.pages), len(s.made()))
				must.Eq(t, 1, f.Catalog().Version)
				test.Eq(t, c.confirmed, f.CatalogConfirmedAt() > previous)
				test.Eq(t, !c.confirmed, f.ConfirmWait(clock.Now()) > 0)
				test.Eq(t, !c.confirmed, f.configWaitNow(configWait) < configWait, test.Sprint("the end of the wait is looked for"))
				test.True(t, f.EvacuationsKnown(), test.Sprint("what needs no key doesn't wait"))
			})
		})
	}
}

func TestCompleteness(t *testing.T) {
	c := &completeness{}
	test.True(t, c.confirms(0, at(0)), test.Sprint("the source tells no era"))
	test.True(t, c.hear(firstEra, at(0)))
	test.False(t, c.hear(firstEra, at(0)))
	test.True(t, c.confirms(firstEra, at(-time.Second)))
	test.Eq(t, 0, c.witnessedEra, test.Sprint("the first era needs no record"))

	must.True(t, c.hear(2, at(time.Second)))
	test.False(t, c.confirms(2, at(time.Second+outageGrace-1)))
	test.False(t, c.confirms(firstEra, at(time.Second+outageGrace)), test.Sprint("a late answer"))
	test.Eq(t, firstEra, c.completeEra)
	test.True(t, c.confirms(2, at(time.Second+outageGrace)))
	test.Eq(t, 2, c.witnessedEra)
	test.False(t, c.confirms(2, at(time.Second)), test.Sprint("a read that began earlier"))

	must.True(t, c.hear(3, at(10*time.Second)))
	test.False(t, c.learn(2, at(11*time.Second)), test.Sprint("a record of the copy"))
	test.False(t, c.learn(4, at(11*time.Second)), test.Sprint("an era that this node has not heard of"))
	test.False(t, c.confirms(3, at(11*time.Second)))
	test.True(t, c.learn(3, at(11*time.Second)))
	test.False(t, c.confirms(3, at(11*time.Second-1)), test.Sprint("a read that began before"))
	test.True(t, c.confirms(3, at(11*time.Second)))
	test.Eq(t, 2, c.witnessedEra, test.Sprint("another node has seen it"))
}

// Guards against callers who are refused for longer than lost records can be missing: the read that
// confirms the configuration begins late, or waits for records.
func TestReadThatConfirmsIsNotLate(t *testing.T) {
	c := &completeness{}
	c.hear(2, at(0))
	for _, step := range []struct{ left, want time.Duration }{
		{outageGrace, graceReadInterval},
		{30 * time.Millisecond, 30 * time.Millisecond},
		{time.Millisecond, minReadWait},
		{-time.Millisecond, minReadWait},
		{-graceReadInterval - 1, graceReadInterval},
	} {
		test.Eq(t, step.want, c.readWait(at(outageGrace-step.left)), test.Sprint(step.left, " left"))
	}
}

// Guards against a record in the store by each node that starts with a store that has lost nothing.
func TestFirstEraIsNotRecorded(t *testing.T) {
	for era, want := range map[uint64]uint64{firstEra: 0, 4: 4} {
		f := newFeeds()
		f.Bootstrap = true
		f.ObserveEra(era)
		test.Eq(t, era, f.CompleteEra())
		test.Eq(t, want, f.WitnessedEra())
	}
}

// Guards against a line that says that keys wait, at each start of a node beside a peer that knows.
func TestNoWaitIsAnnouncedBesideAPeerThatKnows(t *testing.T) {
	for _, complete := range []uint64{0, 2} {
		var log bytes.Buffer
		f := newFeeds()
		f.Logger = zerolog.New(&log)
		f.ObserveComplete(2, complete)
		test.Eq(t, complete == 0, strings.Contains(log.String(), "wait until"), test.Sprint(complete))
		test.Eq(t, complete, f.CompleteEra())
		f.ObserveComplete(2, 2)
		test.Eq(t, 2, f.CompleteEra())
		test.Eq(t, 0, f.WitnessedEra())
	}
}

// configModel is a store, an operator and nodes that read the store and each other.
type configModel struct {
	now clock.Instant
	era uint64
	log []ident.Version
	// acknowledged holds the versions in order, with the time of each.
	acknowledged []acknowledgement
	// rewriteAt is when the operator writes the newest version again, which the store has lost;
	// zero if it hasn't.
	rewriteAt clock.Instant
	// recorded is the era that is recorded as complete.
	recorded uint64
	nodes    []*configNode
}

type acknowledgement struct {
	at      clock.Instant
	version ident.Version
}

// configNode follows the configuration as Feeds and its follower do.
type configNode struct {
	completeness
	cursor      cursor
	version     ident.Version
	confirmedAt clock.Instant
	asked       *configRead
}

// configRead is a read of the store that a node has begun.
type configRead struct {
	began    clock.Instant
	from     ident.Offset
	served   bool
	page     Page
	versions []ident.Version
}

func (m *configModel) write(v ident.Version) {
	m.log = append(m.log, v)
	m.rewriteAt = 0
}

// newestAt returns the newest version that the operator had acknowledged at a time.
func (m *configModel) newestAt(t clock.Instant) (v ident.Version) {
	for _, a := range m.acknowledged {
		if a.at <= t {
			v = a.version
		}
	}
	return v
}

// lose brings the store back as an older copy.
func (m *configModel) lose(records int, rewrite time.Duration) {
	m.log = m.log[:len(m.log)-records]
	m.era++
	if newest := m.newestAt(m.now); newest > 0 && (len(m.log) == 0 || m.log[len(m.log)-1] < newest) {
		m.rewriteAt = m.now.Add(rewrite)
	}
}

func (m *configModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	if m.rewriteAt > 0 && m.now >= m.rewriteAt {
		m.write(m.newestAt(m.now))
	}
}

func (m *configModel) ask(n *configNode) { n.asked = &configRead{began: m.now, from: n.cursor.next} }

// serve answers the read of a node with at most the given number of records.
func (m *configModel) serve(n *configNode, limit int) {
	r := n.asked
	if r == nil || r.served {
		return
	}
	r.served = true
	end := ident.Offset(len(m.log))
	r.page = Page{Era: m.era, Next: end, End: end}
	switch {
	case r.from == unknownOffset:
		r.versions = m.log[max(0, len(m.log)-1):]
	case r.from < end:
		r.page.Next = min(end, r.from+ident.Offset(limit))
		r.versions = m.log[r.from:r.page.Next]
	}
}

// answer gives a node the answer to its read.
func (m *configModel) answer(n *configNode) {
	r := n.asked
	if r == nil || !r.served || r.from != n.cursor.next {
		return
	}
	n.asked = nil
	n.hear(r.page.Era, m.now)
	switch n.cursor.advance(r.page) {
	case readAgain:
		return
	case outdated:
		n.cursor.next = unknownOffset
		return
	}
	asOf := n.cursor.confirm(r.page, r.began)
	for _, v := range r.versions {
		n.version = max(n.version, v)
	}
	if n.version > 0 && asOf > 0 && n.confirms(n.cursor.era, asOf) {
		n.confirmedAt = max(n.confirmedAt, asOf)
	}
}

// read reads the store at a node to the end of the stream.
func (m *configModel) read(n *configNode) {
	for range 3 {
		m.ask(n)
		m.serve(n, len(m.log))
		m.answer(n)
	}
}

// pull takes the state of a peer; the call took some time.
func (m *configModel) pull(n, peer *configNode, took time.Duration) {
	n.hear(peer.era, m.now)
	n.learn(peer.completeEra, m.now)
	n.version = max(n.version, peer.version)
	isProof := peer.confirmedAt > 0 && (peer.completeEra > 0 || n.isComplete())
	if isProof && n.version == peer.version {
		n.confirmedAt = max(n.confirmedAt, peer.confirmedAt.Add(-took))
	}
}

// register reads and writes the record of the complete era at a node.
func (m *configModel) register(n *configNode) {
	if m.recorded == m.era {
		n.hear(m.era, m.now)
		n.learn(m.era, m.now)
	}
	if n.witnessedEra > m.recorded {
		m.recorded = n.witnessedEra
	}
}

func (m *configModel) check(t *rapid.T, what string) {
	for i, n := range m.nodes {
		if want := m.newestAt(n.confirmedAt); n.confirmedAt > 0 && n.version < want {
			t.Fatalf("after %s, node %d has version %d confirmed as of %v, when %d was the newest; store %v in era %d", what, i, n.version, n.confirmedAt, want, m.log, m.era)
		}
	}
}

// Guards against orders of reads, answers of peers, starts and losses of the store in which a node
// confirms a configuration that isn't the newest, or never confirms the newest one again.
func TestNoOrderOfMessagesConfirmsAnOlderConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &configModel{now: at(0), era: firstEra}
		newNode := func() *configNode { return &configNode{cursor: cursor{next: unknownOffset}} }
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		for range nodes {
			m.nodes = append(m.nodes, newNode())
		}
		draw := func(label string) *configNode { return m.nodes[rapid.IntRange(0, nodes-1).Draw(t, label)] }
		version := ident.Version(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			what := rapid.SampledFrom([]string{"write", "write", "lose", "ask", "ask", "serve", "serve", "answer", "answer", "read", "pull", "pull", "pull", "register", "wait", "restart", "restart all", "resume"}).Draw(t, "step")
			switch what {
			case "write":
				version++
				m.write(version)
				m.acknowledged = append(m.acknowledged, acknowledgement{m.now, version})
			case "lose":
				m.lose(rapid.IntRange(0, min(4, len(m.log))).Draw(t, "records"), time.Duration(rapid.IntRange(1, 2000).Draw(t, "rewrite"))*time.Millisecond)
			case "ask":
				m.ask(draw("asking"))
			case "serve":
				m.serve(draw("served"), rapid.IntRange(1, 3).Draw(t, "page"))
			case "answer":
				m.answer(draw("answered"))
			case "read":
				m.read(draw("reader"))
			case "pull":
				m.pull(draw("puller"), draw("peer"), time.Duration(rapid.SampledFrom([]int{0, 0, 1, 80}).Draw(t, "took"))*time.Millisecond)
			case "register":
				m.register(draw("registering"))
			case "wait":
				m.advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "wait")) * time.Millisecond)
			case "restart":
				m.nodes[rapid.IntRange(0, nodes-1).Draw(t, "restarted")] = newNode()
			case "restart all":
				for i := range m.nodes {
					m.nodes[i] = newNode()
				}
			case "resume":
				// The node turns to the store again, with the state that it has.
				n := draw("resumed")
				n.cursor, n.asked = cursor{next: unknownOffset, era: n.era}, nil
			}
			m.advance(time.Millisecond)
			m.check(t, what)
		}
		began := m.now
		for range 3 {
			m.advance(outageGrace)
			for _, n := range m.nodes {
				m.read(n)
			}
		}
		m.check(t, "the end")
		for i, n := range m.nodes {
			must.Eq(t, version, n.version, must.Sprint("node ", i))
			must.True(t, version == 0 || n.confirmedAt > began, must.Sprint("node ", i, " is confirmed again"))
		}
	})
}
