// Package passes simulates, in virtual time, how a placement policy distributes
// prompts over the model engines of a fleet. An engine runs its batch in
// iterations. If sequences decode, an iteration takes topol.Engine.DecodeSteps
// steps and ends with one event for each decoding sequence; otherwise it takes a
// single step. Each iteration also prefills queued prompts.
package passes

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// promptPart is the part of a prompt that one engine prefills.
type promptPart struct {
	execution *execution
	// onPrimary is set if the prompt's primary engine prefills the part, and
	// not a helper.
	onPrimary bool
	// tokensLeft is the number of tokens not yet prefilled, pairsPerToken the
	// mean number of attention pairs of a token, in millions.
	tokensLeft, pairsPerToken float64
}

// execution is the state of a placed prompt at its engines.
type execution struct {
	*prompt
	// primary is the engine that prefills a part of the prompt and decodes the
	// answer.
	primary *engine
	// partsLeft is the number of parts whose prefill has not ended.
	partsLeft int
	// eventsLeft is the number of events of the answer not yet emitted.
	eventsLeft  int
	lastEventAt time.Duration
}

// engine is the state of a simulated engine.
type engine struct {
	endpoint *topol.Endpoint
	// spec holds the engine's slots, memory and speeds.
	spec         *topol.Engine
	prefillQueue []*promptPart
	decoding     []*execution
	// admitted is the number of prompts that hold a slot of this engine, which
	// is their primary engine; those in waiting have none yet.
	admitted int
	waiting  []*execution
	busy     bool
	// iterationEnd is when the current iteration ends.
	iterationEnd time.Duration
	// finishedParts are the parts whose prefill the current iteration
	// completes.
	finishedParts []*promptPart
	// prefillTime is the total time spent on prefill.
	prefillTime time.Duration
}

// enqueue adds a part to the prefill queue. A helper's part goes to the front,
// also ahead of helper parts that were queued earlier.
func (e *engine) enqueue(p *promptPart) {
	if p.onPrimary {
		e.prefillQueue = append(e.prefillQueue, p)
		return
	}
	e.prefillQueue = slices.Insert(e.prefillQueue, 0, p)
}

// admit adds the primary engine's part of a prompt to the prefill queue if a slot
// is free; otherwise the prompt waits for one, behind more urgent ones.
func (e *engine) admit(ex *execution, p *promptPart) {
	if e.admitted >= e.spec.Slots {
		ex.queuedPart = p
		i := len(e.waiting)
		if !ex.waits {
			i = slices.IndexFunc(e.waiting, func(o *execution) bool { return o.waits })
		}
		if i < 0 {
			i = len(e.waiting)
		}
		e.waiting = slices.Insert(e.waiting, i, ex)
		return
	}
	e.admitted++
	e.enqueue(p)
}

// releaseSlot frees the slot of a prompt that has ended and gives it to the
// most urgent prompt, of these to the one that has waited longest.
func (e *engine) releaseSlot() {
	e.admitted--
	if len(e.waiting) == 0 {
		return
	}
	ex := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.admitted++
	e.enqueue(ex.queuedPart)
}

// startIteration starts an iteration and returns its duration, or zero if the
// engine has nothing to prefill or decode.
func (e *engine) startIteration() time.Duration {
	if len(e.prefillQueue) == 0 && len(e.decoding) == 0 {
		return 0
	}
	steps := 1
	step := e.spec.StepTime
	if len(e.decoding) > 0 {
		steps = e.spec.DecodeSteps
		contextTokens := ident.Tokens(0)
		for _, ex := range e.decoding {
			contextTokens += ex.tokens
		}
		step += time.Duration(len(e.decoding))*e.spec.PerSequence + time.Duration(float64(contextTokens)/1000*float64(e.spec.PerThousandContext))
	}
	return time.Duration(steps)*step + e.prefill(float64(steps)*float64(e.spec.PrefillChunk))
}

// prefill prefills up to budget tokens from the prefill queue and returns the time
// that this takes.
func (e *engine) prefill(budget float64) time.Duration {
	var t time.Duration
	for budget > 0 && len(e.prefillQueue) > 0 {
		p := e.prefillQueue[0]
		n := min(p.tokensLeft, budget)
		budget -= n
		p.tokensLeft -= n
		t += time.Duration(n/e.spec.PrefillRate*float64(time.Second)) + time.Duration(n*p.pairsPerToken*float64(e.spec.PerMillionPairs))
		if p.tokensLeft > 0 {
			break
		}
		e.finishedParts = append(e.finishedParts, p)
		e.prefillQueue = e.prefillQueue[1:]
	}
	e.prefillTime += t
	return t
}

// finishIteration completes an iteration: each decoding prompt emits an event,
// and a prompt whose last part is prefilled emits its first event and starts
// decoding on its primary engine. It returns the engines that may have to start
// an iteration.
func (e *engine) finishIteration(now time.Duration) []*engine {
	runnable := []*engine{e}
	finished := e.finishedParts
	e.finishedParts = nil
	e.decoding = slices.DeleteFunc(e.decoding, func(ex *execution) bool {
		ex.emitEvent(now)
		if ex.eventsLeft > 0 {
			return false
		}
		ex.endedAt = now
		e.releaseSlot()
		return true
	})
	for _, p := range finished {
		ex := p.execution
		ex.partsLeft--
		if ex.partsLeft > 0 {
			continue
		}
		ex.emitEvent(now)
		ex.firstEventAt = now
		runnable = append(runnable, ex.primary)
		if ex.eventsLeft > 0 {
			ex.primary.decoding = append(ex.primary.decoding, ex)
			continue
		}
		ex.endedAt = now
		ex.primary.releaseSlot()
	}
	return runnable
}

// emitEvent records that the answer's next event is emitted now.
func (ex *execution) emitEvent(now time.Duration) {
	ex.eventsLeft--
	if ex.lastEventAt > 0 {
		ex.maxGap = max(ex.maxGap, now-ex.lastEventAt)
	}
	ex.lastEventAt = now
}
