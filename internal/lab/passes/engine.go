// Package passes plays prompts on a fleet of model engines in virtual time. An
// engine works in passes: each takes some steps if anybody writes, in which
// every writer gets one event, and reads what waits to be read.
package passes

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// part is what one engine reads of a prompt.
type part struct {
	run *run
	own bool
	// left is in tokens, pairs in millions of pairs for each token.
	left, pairs float64
}

// run is one prompt at its engines.
type run struct {
	*prompt
	first  *engine
	unread int
	// events is the number of events still to be written.
	events int
	last   time.Duration
}

// engine is one model engine.
type engine struct {
	endpoint *topol.Endpoint
	spec     *topol.Engine
	parts    []*part
	writers  []*run
	// admitted counts the requests that hold a slot; waiting have none yet.
	admitted int
	waiting  []*run
	busy     bool
	// until is when the pass under way ends.
	until time.Duration
	// finished are the parts that the pass under way completes.
	finished []*part
	// reading is the time that the engine has read in all.
	reading time.Duration
}

// queue adds a part. One that is read for another engine goes before all
// others, also before those that came earlier.
func (e *engine) queue(p *part) {
	if p.own {
		e.parts = append(e.parts, p)
		return
	}
	e.parts = slices.Insert(e.parts, 0, p)
}

// admit gives a run a slot, or lets it wait for one.
func (e *engine) admit(r *run, p *part) {
	if e.admitted >= e.spec.Slots {
		e.waiting = append(e.waiting, r)
		r.held = p
		return
	}
	e.admitted++
	e.queue(p)
}

// release frees the slot of a run that has ended.
func (e *engine) release() {
	e.admitted--
	if len(e.waiting) == 0 {
		return
	}
	r := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.admitted++
	e.queue(r.held)
}

// start begins a pass and returns how long it takes; zero if there is nothing
// to do.
func (e *engine) start() time.Duration {
	if len(e.parts) == 0 && len(e.writers) == 0 {
		return 0
	}
	steps := 1
	step := e.spec.StepTime
	if len(e.writers) > 0 {
		steps = e.spec.DecodeSteps
		context := ident.Tokens(0)
		for _, r := range e.writers {
			context += r.Tokens
		}
		step += time.Duration(len(e.writers))*e.spec.PerSequence + time.Duration(float64(context)/1000*float64(e.spec.PerThousandContext))
	}
	return time.Duration(steps)*step + e.read(float64(steps)*float64(e.spec.PrefillChunk))
}

// read reads up to a number of tokens.
func (e *engine) read(room float64) time.Duration {
	var t time.Duration
	for room > 0 && len(e.parts) > 0 {
		p := e.parts[0]
		n := min(p.left, room)
		room -= n
		p.left -= n
		t += time.Duration(n/e.spec.PrefillRate*float64(time.Second)) + time.Duration(n*p.pairs*float64(e.spec.PerMillionPairs))
		if p.left > 0 {
			break
		}
		e.finished = append(e.finished, p)
		e.parts = e.parts[1:]
	}
	e.reading += t
	return t
}

// end completes a pass: writers get their events, prompts that are read begin
// to write. It returns the engines that have something new to do.
func (e *engine) end(now time.Duration) []*engine {
	woken := []*engine{e}
	finished := e.finished
	e.finished = nil
	e.writers = slices.DeleteFunc(e.writers, func(r *run) bool {
		r.event(now)
		if r.events > 0 {
			return false
		}
		r.done = now
		e.release()
		return true
	})
	for _, p := range finished {
		r := p.run
		r.unread--
		if r.unread > 0 {
			continue
		}
		r.event(now)
		r.wrote = now
		woken = append(woken, r.first)
		if r.events > 0 {
			r.first.writers = append(r.first.writers, r)
			continue
		}
		r.done = now
		r.first.release()
	}
	return woken
}

// event writes one event.
func (r *run) event(now time.Duration) {
	r.events--
	if r.last > 0 {
		r.gap = max(r.gap, now-r.last)
	}
	r.last = now
}
