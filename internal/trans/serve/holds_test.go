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

// The property tests give the same verdict in every run.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// memory is an engine fleet that only keeps reservations.
type memory struct {
	messg.Engine

	mu   sync.Mutex
	held map[string]ident.Tokens
	// fail makes the next releases fail, every second one after it took
	// effect.
	fail int
}

func (m *memory) Reserve(_ context.Context, addr, owner string, n ident.Tokens) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[addr+owner] = n
	return nil
}

func (m *memory) Release(_ context.Context, addr, owner string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail > 0 {
		m.fail--
		if m.fail%2 == 0 {
			delete(m.held, addr+owner)
		}
		return errors.New("no answer")
	}
	delete(m.held, addr+owner)
	return nil
}

func (m *memory) setFail(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail = n
}

func (m *memory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// fleetOfHolds is some nodes over one log and one set of engines.
type fleetOfHolds struct {
	log    *memlog.Log
	engine *memory
	table  *table.Table
	mu     sync.Mutex
	dead   map[ident.NodeName]bool
}

func newFleetOfHolds() *fleetOfHolds {
	d := &confg.Document{Endpoints: map[ident.EndpointName]confg.Endpoint{
		"a": {Address: "a"}, "b": {Address: "b"}, "c": {Address: "c"},
	}}
	return &fleetOfHolds{
		log: &memlog.Log{}, engine: &memory{held: map[string]ident.Tokens{}},
		table: table.New(1, d, nil), dead: map[ident.NodeName]bool{},
	}
}

func (f *fleetOfHolds) alive(n ident.NodeName, _ int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[n]
}

func (f *fleetOfHolds) kill(n ident.NodeName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[n] = true
}

// node runs the holds of one node until stop is called.
func (f *fleetOfHolds) node(n ident.NodeName) (h *Holds, stop func()) {
	h = &Holds{
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

// hold opens a hold and reserves at the first n of its engines.
func (f *fleetOfHolds) hold(h *Holds, owner string, n int, limit time.Duration) (*hold, error) {
	var es []*table.Endpoint
	for _, name := range ident.SortedKeys(f.table.Endpoints) {
		es = append(es, f.table.Endpoints[name])
	}
	o, err := h.open(context.Background(), owner, es, time.Now().Add(limit))
	if err != nil {
		return nil, err
	}
	for _, e := range es[:n] {
		f.engine.Reserve(context.Background(), e.Config().Address, owner, 100)
	}
	return o, nil
}

func TestMemoryOfADeadNodeIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfHolds()
		a, stopA := f.node("a")
		_, stopB := f.node("b")
		defer stopB()
		_, err := f.hold(a, "p-1", 2, time.Minute)
		must.NoError(t, err)
		time.Sleep(30 * time.Second)
		test.Eq(t, 2, f.engine.count())
		f.kill("a")
		stopA()
		f.engine.setFail(3)
		time.Sleep(10 * time.Second)
		test.Eq(t, 0, f.engine.count())
	})
}

func TestHoldThatItsNodeForgotIsReleasedAfterItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfHolds()
		a, stopA := f.node("a")
		defer stopA()
		o, err := f.hold(a, "p-1", 3, 20*time.Second)
		must.NoError(t, err)
		f.engine.setFail(1 << 20)
		o.end()
		test.Positive(t, f.engine.count())
		f.engine.setFail(0)
		time.Sleep(2 * time.Minute)
		test.Eq(t, 0, f.engine.count())
	})
}

func TestHoldIsRefusedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfHolds()
		a, stopA := f.node("a")
		defer stopA()
		f.log.SetDown(true)
		_, err := f.hold(a, "p-1", 3, time.Minute)
		test.Error(t, err)
		test.Eq(t, 0, f.engine.count())
	})
}

// TestNoMemoryStaysHeld checks that after any sequence of holds, ends, deaths,
// outages and failing releases all memory is free in the end, as long as one
// node lives.
func TestNoMemoryStaysHeld(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOfHolds()
			names := []ident.NodeName{"a", "b", "c"}
			nodes := map[ident.NodeName]*Holds{}
			for _, n := range names {
				h, stop := f.node(n)
				nodes[n] = h
				defer stop()
			}
			var open []*hold
			for i := range rapid.IntRange(1, 15).Draw(r, "steps") {
				n := rapid.SampledFrom(names).Draw(r, "node")
				switch rapid.IntRange(0, 5).Draw(r, "step") {
				case 0, 1:
					o, err := f.hold(nodes[n], string(n)+string(rune('0'+i)), rapid.IntRange(0, 3).Draw(r, "engines"), time.Minute)
					if err == nil {
						open = append(open, o)
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
					f.engine.setFail(rapid.IntRange(0, 20).Draw(r, "failures"))
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 10).Draw(r, "seconds")) * time.Second)
			}
			f.log.SetDown(false)
			for _, o := range open {
				o.holds.forget(o.owner)
			}
			time.Sleep(10 * time.Minute)
			test.Eq(t, 0, f.engine.count())
		})
	})
}
