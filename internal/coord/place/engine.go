package place

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// engineView is the state of one engine as this node knows it. An engine works
// in iterations: each decodes one event of every decoding request and prefills
// everything that is queued. So prefill delays the decoding requests, and a
// prompt waits for the iteration under way.
type engineView struct {
	endpoint *topol.Endpoint
	spec     *topol.Engine
	// avoid is set for an engine that is chosen only if there is no other.
	avoid bool
	// suspect is set for an engine that must not help others.
	suspect bool
	// maxInFlight bounds the requests and the helped prompts at the same time, unless it is
	// zero.
	maxInFlight int
	// isForOthers is set if the room that maxInFlight leaves is for requests of other nodes.
	isForOthers bool
	// isSlow is set for an engine in slow start.
	isSlow bool
	// interactive is set for the engines of the interactive pool, which is kept
	// for callers who accept only short pauses.
	interactive bool
	// rank is the engine's index among the engines sorted by name, which is the
	// same at all nodes, or a random one with ServiceState.UnknownLoad.
	rank int
	// requests counts the requests that occupy a slot or wait beyond the slots,
	// decoding those among them that are being decoded. The prompts of those that wait
	// count as queued: they are prefilled as soon as a slot is free.
	requests, decoding int
	// late counts the requests that were sent after their target.
	late int
	// helpedPrompts counts the prompts of other engines that this one helps to
	// prefill.
	helpedPrompts int
	// minGap is the shortest pause that the callers of its requests accept; zero
	// without requests.
	minGap time.Duration
	// value is the sum of the values of the answers to its requests, interactiveValue
	// that of those for interactive callers.
	value, interactiveValue float64
	// contextTokens is the KV memory of the decoding requests; usedTokens also
	// includes expected answers, queued and waiting prompts, and reservations.
	contextTokens, usedTokens ident.Tokens
	// costAsHelper is the cost of the engine as a helper of the request being
	// placed.
	costAsHelper float64
	// queue is the prefill that the engine has still to do.
	queue prefillQueue
	// backlog is the time until the queue is empty.
	backlog time.Duration
}

// part is the size of the part of a prompt that one engine prefills.
type part struct {
	tokens ident.Tokens
	// pairs counts the attention pairs, each of a token and an earlier one, in
	// millions.
	pairs float64
}

// split returns the part of a prompt for each of n engines.
func split(prompt ident.Tokens, n int) part {
	p := float64(prompt)
	return part{
		tokens: (prompt + ident.Tokens(n) - 1) / ident.Tokens(n),
		pairs:  p * p / 2 / 1e6 / float64(n),
	}
}

// decodeTime returns the time that decoding takes in each iteration.
func (v *engineView) decodeTime() time.Duration {
	if v.decoding == 0 {
		return 0
	}
	step := v.spec.StepTime + estimate(float64(v.decoding)*float64(v.spec.PerSequence)) + estimate(float64(v.contextTokens)/1000*float64(v.spec.PerThousandContext))
	steps := time.Duration(v.spec.DecodeSteps)
	return min(step, maxEstimate/max(1, steps)) * steps
}

// maxEstimate is the largest part of an estimated time. It keeps sums of them within the
// range of a duration.
const maxEstimate = 24 * time.Hour

// estimate converts a number of nanoseconds to a duration of at most maxEstimate.
func estimate(ns float64) time.Duration { return time.Duration(min(ns, float64(maxEstimate))) }

// prefillTime returns the time to prefill a part on an otherwise idle engine.
// Each chunk adds half a step.
func (v *engineView) prefillTime(p part) time.Duration {
	chunk := max(1, v.spec.PrefillChunk)
	steps := (p.tokens + chunk - 1) / chunk
	return estimate(float64(p.tokens)/v.spec.PrefillRate*float64(time.Second)) +
		estimate(p.pairs*float64(v.spec.PerMillionPairs)) + estimate(float64(steps)*float64(v.spec.StepTime)/2)
}

// prefillEnd estimates the time until a new part is prefilled: after all queued
// parts and half of the decoding of one iteration. It is also used for a part
// for another engine: an engine that decodes nothing prefills such a part before
// the queued ones, but later parts for other engines before it.
func (v *engineView) prefillEnd(p part) time.Duration {
	return v.backlog + v.decodeTime()/2 + v.prefillTime(p)
}

// fits reports whether the engine has memory for n more tokens.
func (v *engineView) fits(n ident.Tokens) bool {
	return v.usedTokens+n <= usableMemory(v.spec)
}

// hasRoom reports whether the engine takes another prompt beside those that it serves or helps.
func (v *engineView) hasRoom() bool {
	return v.maxInFlight == 0 || v.requests+v.helpedPrompts < v.maxInFlight
}

// takesRequest reports whether the engine has a slot for a request of this node.
func (v *engineView) takesRequest() bool {
	return v.requests < v.spec.Slots && v.hasRoom() && !v.isForOthers
}

// mayHelp reports whether the engine has a slot to help another engine with a prompt.
func (v *engineView) mayHelp() bool { return v.helpedPrompts < v.spec.Slots && v.hasRoom() }

// usableMemory returns the KV memory that prompts and answers may use.
func usableMemory(e *topol.Engine) ident.Tokens { return e.Memory * memoryPercent / 100 }

// engineViews returns the state of all engines that are not leaving, sorted by
// name.
func engineViews(s ServiceState) []*engineView {
	vs := make([]*engineView, 0, len(s.Endpoints))
	byName := make(map[ident.EndpointName]*engineView, len(s.Endpoints))
	for _, e := range s.Endpoints {
		v := &engineView{endpoint: e, spec: s.Engine, avoid: s.Avoid(e.Name), suspect: s.Suspect(e.Name)}
		if s.MaxInFlight != nil {
			v.maxInFlight = s.MaxInFlight(e.Name)
			v.isForOthers = v.maxInFlight > 0 && s.IsForOthers(e.Name)
		}
		v.isSlow = s.IsSlow != nil && s.IsSlow(e.Name)
		byName[e.Name] = v
		if !e.Leaving {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *engineView) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
	for i, v := range vs {
		v.rank = i
	}
	if s.UnknownLoad {
		shuffleRanks(vs, s.Random)
	} else {
		markInteractivePool(vs, s)
	}
	for _, w := range s.InFlight {
		addRequest(byName[w.First], w)
		for _, h := range w.Held {
			if v := byName[h.Endpoint]; v != nil {
				v.usedTokens += h.Tokens
			}
		}
	}
	for i, w := range s.InFlight {
		if !w.Writing && w.Prompt > 0 {
			addPrefill(byName, i, w, s.Now)
		}
	}
	factor := delayFactor(len(vs))
	for _, v := range vs {
		v.backlog = v.queue.advanceToNow()
		v.queue.delayFactor = factor
	}
	return vs
}

// shuffleRanks gives the engines ranks in a random order.
func shuffleRanks(vs []*engineView, random func() float64) {
	for i, v := range vs {
		j := int(random() * float64(i+1))
		v.rank, vs[j].rank = vs[j].rank, v.rank
	}
}

func addRequest(v *engineView, w works.Request) {
	if v == nil {
		return
	}
	v.requests++
	if w.Target <= pastTarget {
		v.late++
	}
	v.value += answerValue(w.Prompt)
	if !toleratesPauses(w.Gap) {
		v.interactiveValue += answerValue(w.Prompt)
	}
	v.usedTokens += w.Share + w.Output
	if v.minGap == 0 || w.Gap < v.minGap {
		v.minGap = w.Gap
	}
	if w.Writing {
		v.decoding++
		v.contextTokens += w.Share
	}
}

// addPrefill adds the parts of a prompt to the queues of its engines. i is the
// index of its request.
func addPrefill(byName map[ident.EndpointName]*engineView, i int, w works.Request, now time.Time) {
	p := split(w.Prompt, len(w.Helpers)+1)
	at := -now.Sub(w.Since)
	lossRate := delayLossRate(w)
	if v := byName[w.First]; v != nil {
		t := v.prefillTime(p)
		pending := pendingPart{request: i, left: t, lossRate: lossRate}
		if len(w.Helpers) == 0 {
			// A prompt without helpers that isn't being decoded yet still waits for
			// this engine, however long ago it was sent. So at least a quarter of its
			// prefill is counted as left.
			pending.minLeft = t / 4
		}
		v.queue.addOwn(pending, at)
	}
	for _, h := range w.Helpers {
		if v := byName[h]; v != nil {
			v.helpedPrompts++
			v.queue.addForOther(pendingPart{request: i, left: v.prefillTime(p), lossRate: lossRate}, at)
		}
	}
}
