package table

import (
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Endpoint is what a node knows of one endpoint. It outlives configuration
// versions and is safe for concurrent use.
type Endpoint struct {
	Name ident.EndpointName

	config atomic.Pointer[confg.Endpoint]
	load   atomic.Pointer[Load]
	state  atomic.Int32
	// Calls counts the requests that this node has in flight there.
	Calls atomic.Int64
	// Suspects counts the requests in flight that may have crashed an
	// endpoint before.
	Suspects atomic.Int64
	// PeerSuspects counts those of other nodes, as far as they told.
	PeerSuspects atomic.Int64
	short        recent
	long         recent
	held         recent
}

// recent sums what was sent since the last report but one, so that a report
// which lags by up to one interval misses nothing.
type recent struct {
	current, previous atomic.Int64
}

func (r *recent) add(n ident.Tokens) { r.current.Add(int64(n)) }

func (r *recent) turn() { r.previous.Store(r.current.Swap(0)) }

func (r *recent) sum() ident.Tokens {
	return ident.Tokens(r.current.Load() + r.previous.Load())
}

// Config returns the endpoint's configuration; it must not be changed.
func (e *Endpoint) Config() *confg.Endpoint { return e.config.Load() }

// State returns whether the endpoint gets new work.
func (e *Endpoint) State() State { return State(e.state.Load()) }

// SetState changes whether the endpoint gets new work.
func (e *Endpoint) SetState(s State) { e.state.Store(int32(s)) }

// Load returns the newest report; before the first it is made up from the
// configuration.
func (e *Endpoint) Load() *Load {
	if l := e.load.Load(); l != nil {
		return l
	}
	c := e.Config()
	return &Load{Memory: c.MemoryTokens, PrefillRate: c.PrefillRate, Models: c.Models}
}

// Reported reports whether a load report was received.
func (e *Endpoint) Reported() bool { return e.load.Load() != nil }

// SetLoad takes a report.
func (e *Endpoint) SetLoad(l *Load) {
	e.load.Store(l)
	e.short.turn()
	e.long.turn()
	e.held.turn()
}

// Sent notes a prompt sent by this node.
func (e *Endpoint) Sent(prompt, output ident.Tokens, short bool) {
	if short {
		e.short.add(prompt)
	} else {
		e.long.add(prompt)
	}
	e.held.add(prompt + output)
}

// Used reports whether this node has requests in flight there or sent some
// since the last report but one.
func (e *Endpoint) Used() bool { return e.Calls.Load() > 0 || e.held.sum() > 0 }

// View is an endpoint's load corrected by what this node sent since.
type View struct {
	ShortQueue, LongQueue ident.Tokens
	Free                  ident.Tokens
	Rate                  ident.Tokens
	Step                  time.Duration
	Running               int
	Memory                ident.Tokens
}

// View returns the corrected load at a time. What this node sent since the
// last reports stands for what each of the nodes sent.
func (e *Endpoint) View(now time.Time, nodes int) View {
	l := e.Load()
	rate := max(1, l.PrefillRate)
	worked := ident.Tokens(0)
	if !l.At.IsZero() {
		worked = ident.Tokens(now.Sub(l.At).Seconds() * float64(rate))
	}
	all := ident.Tokens(nodes)
	short := l.ShortQueue + e.short.sum()*all
	long := l.LongQueue + e.long.sum()*all
	shortWorked := min(short, worked)
	return View{
		ShortQueue: short - shortWorked,
		LongQueue:  max(0, long-(worked-shortWorked)),
		Free:       max(0, l.Memory-l.Held-e.held.sum()*all),
		Rate:       rate,
		Step:       l.Step,
		Running:    l.Running + int(e.Calls.Load()),
		Memory:     l.Memory,
	}
}
