// Package exper runs the decisions of the nodes against modelled engines in
// virtual time.
package exper

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(v any)   { *q = append(*q, v.(event)) }
func (q *events) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// world is virtual time with the engines in it.
type world struct {
	now     time.Time
	queue   events
	seq     int
	rnd     *rand.Rand
	engines []*engine
}

func newWorld(seed uint64, engines int, sim engsim.Settings) *world {
	w := &world{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(seed, 0x6578))}
	for range engines {
		e := &engine{world: w, Engine: engsim.New(sim), done: map[ident.RequestID]watcher{}}
		w.engines = append(w.engines, e)
	}
	return w
}

// after schedules f.
func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, f})
}

// run advances time until nothing is left or the end is reached.
func (w *world) run(end time.Time) {
	for len(w.queue) > 0 {
		v := heap.Pop(&w.queue).(event)
		if v.at.After(end) {
			return
		}
		w.now = v.at
		v.do()
	}
}

// watcher is told of the first and the last token of a sequence.
type watcher struct {
	first, last func()
}

// engine is a modelled engine that steps by itself.
type engine struct {
	*engsim.Engine
	world *world
	busy  bool
	done  map[ident.RequestID]watcher
	// reports are the loads of the last moments, oldest first.
	reports []engsim.Load
}

// submit queues a sequence.
func (e *engine) submit(s *engsim.Sequence, w watcher) error {
	if err := e.Submit(e.world.now, s); err != nil {
		return err
	}
	e.done[s.ID] = w
	e.wake()
	return nil
}

func (e *engine) wake() {
	if e.busy {
		return
	}
	st := e.Step(e.world.now)
	if st.Duration == 0 {
		return
	}
	e.busy = true
	e.world.after(st.Duration, func() {
		e.busy = false
		for _, t := range st.Tokens {
			e.deliver(t)
		}
		e.wake()
	})
}

func (e *engine) deliver(t engsim.Token) {
	w, ok := e.done[t.Sequence.ID]
	if !ok {
		return
	}
	if t.Index == 0 && w.first != nil {
		w.first()
	}
	if t.IsLast {
		delete(e.done, t.Sequence.ID)
		if w.last != nil {
			w.last()
		}
	}
}
