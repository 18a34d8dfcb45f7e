package place

import (
	"math"
	"time"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// valueTokens is the prompt that has the value one, valuePower the growth
	// of the value with the size.
	valueTokens = 4000
	valuePower  = 0.8
	// lateShare is the share of its value that an answer loses by being late.
	lateShare = 0.75
	// An answer is the more probably late, the further its expected time is
	// between these percents of what the caller expects.
	lateFrom, lateTo = 0, 100
	// A pause between events counts likewise.
	pauseFrom, pauseTo = 70, 105
	// Callers leave after a pause of this many times the accepted one, or of
	// leaveLeast. They probably do from leavePercent of it on.
	leaveFactor  = 8
	leaveLeast   = 2 * time.Second
	leavePercent = 65
	// secondCost is the cost of each second of waiting, as a share of the
	// value, beside the risk to be late.
	secondCost = 0.1
	// leastTarget is the shortest time to the first event that counts.
	leastTarget = 200 * time.Millisecond
)

// value weighs a prompt by its size.
func value(prompt ident.Tokens) float64 {
	return math.Pow(max(1, float64(prompt)/valueTokens), valuePower)
}

// ramp grows from zero to one as d goes from one bound to the other.
func ramp(d, from, to time.Duration) float64 {
	if to <= from || d >= to {
		return 1
	}
	return max(0, float64(d-from)/float64(to-from))
}

// lateRisk is the share of its value that a prompt loses if it is read after a
// time.
func lateRisk(end time.Duration, r Request) float64 {
	risk := lateShare * ramp(end, r.Target*lateFrom/100, r.Target*lateTo/100)
	if r.Left > 0 {
		risk += (1 - lateShare) * ramp(end, r.Left*lateFrom/100, r.Left*latePercent/100)
	}
	return risk + secondCost*end.Seconds()
}

// pauseRisk is the share of its value that a stream loses by a pause between
// its events.
func pauseRisk(pause, gap time.Duration) float64 {
	leave := max(leaveLeast, leaveFactor*gap)
	return lateShare*ramp(pause, gap*pauseFrom/100, gap*pauseTo/100) +
		(1-lateShare)*ramp(pause, leave*leavePercent/100, leave) +
		secondCost*pause.Seconds()
}

// delayRisk is the value that a prompt loses by each second for which it is
// read later.
func delayRisk(w works.Request) float64 {
	return value(w.Prompt) * (secondCost + lateShare/max(leastTarget, w.Target).Seconds())
}

// lendHarm is the value that others lose if an engine reads a part for another
// one.
func (v *view) lendHarm(p part) float64 {
	if v.writers > 0 {
		// A pass reads all that is there.
		return v.stall(p)
	}
	return v.reads.delay(v.read(p))
}

// stall is the value that the writers of an engine lose by a new part.
func (v *view) stall(p part) float64 {
	if v.requests == 0 {
		return 0
	}
	before := v.backlog + v.writing()
	return v.value * (pauseRisk(before+v.read(p), v.gap) - pauseRisk(before, v.gap))
}
