package serve

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// A fixed seed makes the property tests reproducible.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// fakeEngines implements only the calls Reserve and Release, for several engines.
type fakeEngines struct {
	messg.Engine

	mu       sync.Mutex
	reserved map[string]ident.Tokens
	// failures is how many of the next calls of Release fail. Every second one
	// of them releases the memory nevertheless.
	failures int
}

func (m *fakeEngines) Reserve(_ context.Context, addr, id string, n ident.Tokens) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved[addr+id] = n
	return nil
}

func (m *fakeEngines) Release(_ context.Context, addr, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures > 0 {
		m.failures--
		if m.failures%2 == 0 {
			delete(m.reserved, addr+id)
		}
		return errors.New("no answer")
	}
	delete(m.reserved, addr+id)
	return nil
}

func (m *fakeEngines) setFailures(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = n
}

func (m *fakeEngines) reservedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reserved)
}

// testFleet runs several nodes on one log and one set of engines.
type testFleet struct {
	log    *memlog.Log
	engine *fakeEngines
	table  *table.Table
	mu     sync.Mutex
	dead   map[ident.NodeName]bool
}

func newTestFleet() *testFleet {
	d := &confg.Document{Endpoints: map[ident.EndpointName]confg.Endpoint{
		"a": {Address: "a"}, "b": {Address: "b"}, "c": {Address: "c"},
	}}
	return &testFleet{
		log: &memlog.Log{}, engine: &fakeEngines{reserved: map[string]ident.Tokens{}},
		table: table.New(1, d, nil), dead: map[ident.NodeName]bool{},
	}
}

func (f *testFleet) alive(n ident.NodeName, _ int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[n]
}

func (f *testFleet) kill(n ident.NodeName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[n] = true
}

// startNode runs the reservations of a node until stop is called.
func (f *testFleet) startNode(n ident.NodeName) (h *Reservations, stop func()) {
	h = &Reservations{
		Log: f.log, Engine: f.engine, Holder: claim.Holder{Node: n, Boot: 1},
		Ring: trace.NewRing(n, &trace.Clock{}, 100), Logger: zerolog.Nop(),
		Alive: f.alive, Table: func() *table.Table { return f.table },
	}
	h.Init()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.Follow(ctx) })
	wg.Go(func() { h.Reap(ctx) })
	return h, func() { cancel(); wg.Wait() }
}

// reserve opens a reservation at all engines and reserves memory at the first
// n.
func (f *testFleet) reserve(h *Reservations, id string, n int, limit time.Duration) (*reservation, error) {
	var es []*table.Endpoint
	for _, name := range ident.SortedKeys(f.table.Endpoints) {
		es = append(es, f.table.Endpoints[name])
	}
	res, err := h.open(context.Background(), id, es, time.Now().Add(limit))
	if err != nil {
		return nil, err
	}
	for _, e := range es[:n] {
		f.engine.Reserve(context.Background(), e.Config().Address, id, 100)
	}
	return res, nil
}

func TestMemoryOfDeadNodeIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		a, stopA := f.startNode("a")
		_, stopB := f.startNode("b")
		defer stopB()
		_, err := f.reserve(a, "p-1", 2, time.Minute)
		must.NoError(t, err)
		time.Sleep(30 * time.Second)
		test.Eq(t, 2, f.engine.reservedCount())
		f.kill("a")
		stopA()
		f.engine.setFailures(3)
		time.Sleep(10 * time.Second)
		test.Eq(t, 0, f.engine.reservedCount())
	})
}

func TestUnreleasedReservationIsReleasedAfterItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		a, stopA := f.startNode("a")
		defer stopA()
		res, err := f.reserve(a, "p-1", 3, 20*time.Second)
		must.NoError(t, err)
		f.engine.setFailures(1 << 20)
		res.end()
		test.Positive(t, f.engine.reservedCount())
		f.engine.setFailures(0)
		time.Sleep(2 * time.Minute)
		test.Eq(t, 0, f.engine.reservedCount())
	})
}

func TestReservationFailsWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		a, stopA := f.startNode("a")
		defer stopA()
		f.log.SetDown(true)
		_, err := f.reserve(a, "p-1", 3, time.Minute)
		test.Error(t, err)
		test.Eq(t, 0, f.engine.reservedCount())
	})
}

// TestNoMemoryStaysReserved checks that all memory is free in the end after any
// sequence of reservations, ends, deaths of nodes, log outages and failing
// releases, as long as one node lives.
func TestNoMemoryStaysReserved(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet()
			names := []ident.NodeName{"a", "b", "c"}
			nodes := map[ident.NodeName]*Reservations{}
			for _, n := range names {
				h, stop := f.startNode(n)
				nodes[n] = h
				defer stop()
			}
			var open []*reservation
			for i := range rapid.IntRange(1, 15).Draw(r, "steps") {
				n := rapid.SampledFrom(names).Draw(r, "node")
				switch rapid.IntRange(0, 5).Draw(r, "step") {
				case 0, 1:
					res, err := f.reserve(nodes[n], string(n)+string(rune('0'+i)), rapid.IntRange(0, 3).Draw(r, "engines"), time.Minute)
					if err == nil {
						open = append(open, res)
					}
				case 2:
					if len(open) > 0 {
						go open[0].end()
						open = open[1:]
					}
				case 3:
					if n != "c" {
						f.kill(n)
					}
				case 4:
					f.log.SetDown(rapid.Bool().Draw(r, "down"))
				case 5:
					f.engine.setFailures(rapid.IntRange(0, 20).Draw(r, "failures"))
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 10).Draw(r, "seconds")) * time.Second)
			}
			f.log.SetDown(false)
			// The holders abandon the other reservations without releasing them.
			for _, res := range open {
				res.reservations.forget(res.id)
			}
			time.Sleep(10 * time.Minute)
			test.Eq(t, 0, f.engine.reservedCount())
		})
	})
}
