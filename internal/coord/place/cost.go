package place

import (
	"math"
	"time"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// A prompt of up to weightTokens tokens has the weight one. Above that the
	// weight grows with the size to the power of weightExponent.
	weightTokens   = 4000
	weightExponent = 0.8
	// lateLossFraction is the fraction of its value that an answer loses by
	// being late.
	lateLossFraction = 0.75
	// An answer counts as more likely to be late, the closer its expected time
	// is to the second of these percentages of the time that the caller expects.
	lateFromPercent, lateToPercent = 0, 100
	// The same for pauses between events, in percent of the accepted pause.
	pauseFromPercent, pauseToPercent = 70, 105
	// Callers leave after a pause of leaveFactor times the accepted one, but not
	// before minLeavePause. They become likely to leave from leaveFromPercent of
	// that pause on.
	leaveFactor      = 8
	minLeavePause    = 2 * time.Second
	leaveFromPercent = 65
	// costPerSecond is the fraction of its value that an answer loses with each
	// second of waiting, in addition to the loss by being late.
	costPerSecond = 0.1
	// minTarget is the lower bound on the time to the first event in
	// delayLossRate.
	minTarget = 200 * time.Millisecond
)

// promptWeight returns the value of an answer to a prompt of this size. All
// costs and losses in this package are in the same unit.
func promptWeight(prompt ident.Tokens) float64 {
	return math.Pow(max(1, float64(prompt)/weightTokens), weightExponent)
}

// ramp rises linearly from zero to one as d goes from one bound to the other.
func ramp(d, from, to time.Duration) float64 {
	if to <= from || d >= to {
		return 1
	}
	return max(0, float64(d-from)/float64(to-from))
}

// lateLoss returns the fraction of its value that an answer is expected to lose
// if the prefill ends after this time.
func lateLoss(prefillEnd time.Duration, r Request) float64 {
	loss := lateLossFraction * ramp(prefillEnd, r.Target*lateFromPercent/100, r.Target*lateToPercent/100)
	if r.TimeLeft > 0 {
		loss += (1 - lateLossFraction) * ramp(prefillEnd, r.TimeLeft*lateFromPercent/100, r.TimeLeft*firstEventPercent/100)
	}
	return loss + costPerSecond*prefillEnd.Seconds()
}

// pauseLoss returns the fraction of its value that a stream is expected to lose
// by a pause between its events.
func pauseLoss(pause, gap time.Duration) float64 {
	leave := max(minLeavePause, leaveFactor*gap)
	return lateLossFraction*ramp(pause, gap*pauseFromPercent/100, gap*pauseToPercent/100) +
		(1-lateLossFraction)*ramp(pause, leave*leaveFromPercent/100, leave) +
		costPerSecond*pause.Seconds()
}

// delayLossRate returns the value that a request loses with each second by which
// its prefill is delayed.
func delayLossRate(w works.Request) float64 {
	return promptWeight(w.Prompt) * (costPerSecond + lateLossFraction/max(minTarget, w.Target).Seconds())
}

// helpLoss returns the value that other requests lose if the engine prefills a
// part for another engine.
func (v *engineView) helpLoss(p part) float64 {
	if v.decoding > 0 {
		// An iteration prefills everything that is queued, so the part delays
		// decoding requests only.
		return v.stallLoss(p)
	}
	return v.queue.delayLoss(v.prefillTime(p))
}

// stallLoss returns the value that the engine's requests lose by the pause that
// the prefill of another part causes.
func (v *engineView) stallLoss(p part) float64 {
	if v.requests == 0 {
		return 0
	}
	before := v.backlog + v.decodeTime()
	return v.weight * (pauseLoss(before+v.prefillTime(p), v.minGap) - pauseLoss(before, v.minGap))
}
