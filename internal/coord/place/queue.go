package place

import "time"

// pendingPart is a part of a prompt that an engine has not prefilled yet.
type pendingPart struct {
	// request is the index of the prompt's request in ServiceState.InFlight.
	request int
	// left is the prefill time left; minLeft is the least that is counted for it
	// in the backlog.
	left, minLeft time.Duration
	// lossRate is the value that the prompt loses with each second of delay.
	lossRate float64
}

// prefillQueue models the prefill queue of an engine: parts for other engines
// come first, the newest of them before older ones, then the parts of its own
// prompts in their order of arrival. That is the order on an engine that
// decodes nothing; on others, where one iteration prefills the whole queue, the
// model assumes it too. Times are relative to now, so past moments are
// negative.
type prefillQueue struct {
	forOthers, own []pendingPart
	// simulatedUntil is the moment up to which the prefill is accounted for.
	simulatedUntil time.Duration
	// delayFactor scales the loss by a delay; lossRate is the value lost with
	// each second of it.
	delayFactor, lossRate float64
}

// A delay counts in full as long as a prompt with the most helpers delays, on
// average, at most delayedParts parts of another such prompt.
const delayedParts = 4

// delayFactor returns the factor by which the delay of one part counts. The
// fewer engines there are, the more parts of the same prompt another prompt
// delays at once, but the prompt is late only by the slowest of them.
func delayFactor(engines int) float64 {
	const parts = maxHelpers + 1
	return min(1, float64(delayedParts*engines)/(parts*parts))
}

// addForOther adds a part that arrived at a moment on behalf of another engine.
func (q *prefillQueue) addForOther(p pendingPart, at time.Duration) {
	q.advance(at)
	q.forOthers = append(q.forOthers, p)
}

// addOwn adds a part of one of the engine's own prompts that arrived at a
// moment.
func (q *prefillQueue) addOwn(p pendingPart, at time.Duration) {
	q.advance(at)
	q.own = append(q.own, p)
}

// advance accounts for the prefill done up to a moment.
func (q *prefillQueue) advance(at time.Duration) {
	if len(q.forOthers)+len(q.own) == 0 {
		q.simulatedUntil = at
		return
	}
	t := at - q.simulatedUntil
	q.simulatedUntil = max(q.simulatedUntil, at)
	for t > 0 && len(q.forOthers) > 0 {
		last := &q.forOthers[len(q.forOthers)-1]
		n := min(t, last.left)
		last.left -= n
		t -= n
		if last.left == 0 {
			q.forOthers = q.forOthers[:len(q.forOthers)-1]
		}
	}
	for i := range q.own {
		n := min(max(0, t), q.own[i].left)
		q.own[i].left -= n
		t -= n
	}
}

// advanceToNow accounts for the prefill done until now, sets lossRate, and
// returns the time that the rest of the queue takes. It must be called only
// once, since it adds to lossRate.
func (q *prefillQueue) advanceToNow() time.Duration {
	q.advance(0)
	var sum time.Duration
	for _, p := range q.forOthers {
		sum += p.left
		q.lossRate += p.lossRate
	}
	for _, p := range q.own {
		sum += max(p.left, p.minLeft)
		if p.left > 0 {
			q.lossRate += p.lossRate
		}
	}
	return sum
}

// addLosses sets, for each queued prompt, the value that it loses by a delay of t
// if that is more than its loss by delays at other engines. losses is indexed like
// ServiceState.InFlight.
func (q *prefillQueue) addLosses(losses []float64, t time.Duration) {
	for _, parts := range [][]pendingPart{q.forOthers, q.own} {
		for _, p := range parts {
			if p.left > 0 {
				losses[p.request] = max(losses[p.request], p.lossRate*t.Seconds())
			}
		}
	}
}

// delayLoss returns the value that the queued prompts lose if all of them are
// delayed by t.
func (q *prefillQueue) delayLoss(t time.Duration) float64 {
	return q.lossRate * t.Seconds() * q.delayFactor
}
