// Package exper holds experiments: simulations, in virtual time, of how nodes
// admit prompts and route them to engines, and measurements of running nodes.
package exper

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// event is an action at a virtual time.
type event struct {
	at time.Time
	// seq orders events that have the same time.
	seq    int
	action func()
}

// events is a heap ordered by time and sequence number.
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

// simulator is a discrete-event simulator with its virtual time and engines.
type simulator struct {
	now     time.Time
	queue   events
	seq     int
	rnd     *rand.Rand
	engines []*engine
}

func newSimulator(seed uint64, engines int, settings engsim.Settings) *simulator {
	s := &simulator{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(seed, 0x6578))}
	for range engines {
		e := &engine{simulator: s, Engine: engsim.New(settings), callbacks: map[ident.RequestID]callbacks{}}
		s.engines = append(s.engines, e)
	}
	return s
}

// after schedules a call of f after a delay in virtual time.
func (s *simulator) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, f})
}

// run executes the scheduled events in order, until none is left or the next one
// is after end.
func (s *simulator) run(end time.Time) {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.action()
	}
}

// callbacks are called at the first and the last token of a sequence; nil ones
// are skipped.
type callbacks struct {
	onFirst, onLast func()
}

// engine is a simulated engine that runs steps while it has sequences.
type engine struct {
	*engsim.Engine
	simulator *simulator
	busy      bool
	callbacks map[ident.RequestID]callbacks
	// loadHistory holds the latest load snapshots, oldest first.
	loadHistory []engsim.Load
}

// submit queues a sequence and starts a step if the engine is idle.
func (e *engine) submit(s *engsim.Sequence, c callbacks) error {
	if err := e.Submit(e.simulator.now, s); err != nil {
		return err
	}
	e.callbacks[s.ID] = c
	e.startStep()
	return nil
}

// startStep starts a step unless one is running or there is nothing to do. Its
// tokens are delivered at its end, and the next step starts then.
func (e *engine) startStep() {
	if e.busy {
		return
	}
	step := e.Step(e.simulator.now)
	if step.Duration == 0 {
		return
	}
	e.busy = true
	e.simulator.after(step.Duration, func() {
		e.busy = false
		for _, t := range step.Tokens {
			e.deliver(t)
		}
		e.startStep()
	})
}

func (e *engine) deliver(t engsim.Token) {
	c, ok := e.callbacks[t.Sequence.ID]
	if !ok {
		return
	}
	if t.Index == 0 && c.onFirst != nil {
		c.onFirst()
	}
	if t.IsLast {
		delete(e.callbacks, t.Sequence.ID)
		if c.onLast != nil {
			c.onLast()
		}
	}
}
