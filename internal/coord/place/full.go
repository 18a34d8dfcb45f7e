package place

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxWaiting is the largest number of requests that may wait beyond the slots of an
	// engine.
	maxWaiting = 2
	// maxWaitEstimate is the longest expected time to the first event of a request that
	// waits for a slot. Callers abandon a stream after 2 s without an event, and the
	// expected output of the requests ahead may be too small.
	maxWaitEstimate = time.Second
	// maxSentLatePercent is the largest share of the slots that requests sent after their target
	// had passed may take if a further one is to wait. It would take a slot in which a new request
	// could be in time: without the bound, 6 percent fewer answers were in time in simulated bursts.
	maxSentLatePercent = 2
	// pastTarget is the target that is announced for a request sent after its target.
	pastTarget = time.Millisecond
	// slotJitter is the upper bound on the random time that is added to the wait at an
	// engine. Without it, nodes that decide at the same time would choose the same engine.
	slotJitter = 150 * time.Millisecond
)

// chooseFull returns the choice for a request that no engine takes now. A retry that can't be
// deferred waits at the engine whose next slot is expected soonest. Others are rejected: a
// first try would be late, and would make the next one late too.
func chooseFull(vs []*engineView, s ServiceState, r Request) (Choice, error) {
	waits := slotWaits(vs, s)
	rejected := Choice{Load: Load{SlotWait: majorityWait(vs, waits)}}
	if !r.IsRetry || IsDeferrable(s.Engine, r) || tooManySentLate(vs) {
		return rejected, ErrFull
	}
	if slices.ContainsFunc(vs, func(v *engineView) bool { return v.hasFreeSlot(r) }) {
		return rejected, ErrFull
	}
	var best Choice
	var bestWait time.Duration
	for i, v := range vs {
		if !v.mayWait(r) {
			continue
		}
		c := newPlan(v, nil, r).choice()
		c.Estimate += waits[i]
		c.Waits = true
		if c.Estimate > maxWaitEstimate || r.TimeLeft > 0 && c.Estimate > r.TimeLeft*firstEventPercent/100 {
			continue
		}
		wait := c.Estimate + estimate(float64(slotJitter)*s.Random())
		if best.Primary == nil || wait < bestWait {
			best, bestWait = c, wait
		}
	}
	if best.Primary == nil {
		return rejected, ErrFull
	}
	return best, nil
}

// tooManySentLate reports whether requests that were sent after their target take so many slots
// that no further one should wait.
func tooManySentLate(vs []*engineView) bool {
	slots, late := 0, 0
	for _, v := range vs {
		slots += v.spec.Slots
		late += v.late
	}
	return late*100 > slots*maxSentLatePercent
}

// hasFreeSlot reports whether the engine has a slot and memory for a request, even if slow start
// keeps it from being used.
func (v *engineView) hasFreeSlot(r Request) bool {
	return v.requests < v.spec.Slots && v.fits(r.Prompt+r.Output)
}

// mayWait reports whether a request may wait for a slot of the engine. Its prefill must not cause
// a pause that the callers of the engine's requests, or its own, do not accept.
func (v *engineView) mayWait(r Request) bool {
	if v.avoid || v.isSlow || v.spec.Slots <= 0 || v.requests < v.spec.Slots || v.requests-v.spec.Slots >= maxWaiting || !v.fits(r.Prompt+r.Output) {
		return false
	}
	gap := r.Gap
	if v.minGap > 0 {
		gap = min(gap, v.minGap)
	}
	return v.backlog+v.decodeTime()+v.prefillTime(split(r.Prompt, 1)) <= gap*pauseFromPercent/100
}

// slotWaits returns the expected times until the engines have a slot for one more request, behind
// those that wait already.
func slotWaits(vs []*engineView, s ServiceState) []time.Duration {
	index := make(map[ident.EndpointName]int, len(vs))
	for i, v := range vs {
		index[v.endpoint.Name] = i
	}
	ends := make([][]time.Duration, len(vs))
	for _, w := range s.InFlight {
		if i, ok := index[w.First]; ok {
			ends[i] = append(ends[i], vs[i].timeToEnd(w, s.Now))
		}
	}
	waits := make([]time.Duration, len(vs))
	for i, v := range vs {
		if ahead := len(ends[i]) - v.spec.Slots; ahead >= 0 && len(ends[i]) > 0 {
			slices.Sort(ends[i])
			waits[i] = ends[i][min(ahead, len(ends[i])-1)]
		}
	}
	return waits
}

// timeToEnd returns the expected time until a request of the engine ends. A request that should
// have ended by now is expected to end with the next iteration.
func (v *engineView) timeToEnd(w works.Request, now time.Time) time.Duration {
	steps := max(1, v.spec.DecodeSteps)
	iteration := max(v.decodeTime(), estimate(float64(steps)*float64(v.spec.StepTime)))
	decode := estimate(float64((w.Output+ident.Tokens(steps)-1)/ident.Tokens(steps)) * float64(iteration))
	prefill := v.prefillTime(split(w.Prompt, len(w.Helpers)+1))
	age := max(0, now.Sub(w.Since))
	if !w.Writing {
		return max(0, prefill-age) + max(iteration, decode)
	}
	return max(iteration, prefill+decode-age)
}

// majorityWait returns the time by which more than half of the engines that need not be avoided
// are expected to have a slot.
func majorityWait(vs []*engineView, waits []time.Duration) time.Duration {
	var sorted []time.Duration
	for i, v := range vs {
		if !v.avoid {
			sorted = append(sorted, waits[i])
		}
	}
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
