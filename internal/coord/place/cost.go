package place

import (
	"math"
	"time"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// An answer to a prompt of up to unitValueTokens tokens has the value one.
	// Above that, the value grows with the prompt's size to the power of
	// valueExponent.
	unitValueTokens = 4000
	valueExponent   = 0.8
	// lateLossFraction is the fraction of its value that an answer loses by
	// being late.
	lateLossFraction = 0.75
	// The probability that an answer counts as late rises linearly from zero to
	// one as the expected time to its first event goes from lateFromPercent to
	// lateToPercent of the target.
	lateFromPercent, lateToPercent = 0, 100
	// The same for a pause between events, in percent of the pause that the
	// caller accepts.
	pauseFromPercent, pauseToPercent = 70, 105
	// A caller is assumed to have left after a pause of leaveFactor times the
	// accepted one, at least minLeavePause. The probability that it leaves rises
	// linearly from zero at leaveFromPercent of that pause to one.
	leaveFactor      = 8
	minLeavePause    = 2 * time.Second
	leaveFromPercent = 65
	// waitLossPerSecond is the fraction of its value that an answer loses with
	// each second of waiting, in addition to the loss by being late.
	waitLossPerSecond = 0.1
	// minTarget is the least target that delayLossRate counts with.
	minTarget = 200 * time.Millisecond
)

// answerValue returns the value of an answer to a prompt of this size. The
// costs of plans and the losses of requests are in the same unit.
func answerValue(prompt ident.Tokens) float64 {
	return math.Pow(max(1, float64(prompt)/unitValueTokens), valueExponent)
}

// ramp returns a number that rises linearly from zero to one as d goes from one
// bound to the other.
func ramp(d, from, to time.Duration) float64 {
	if to <= from || d >= to {
		return 1
	}
	return max(0, float64(d-from)/float64(to-from))
}

// lateLoss returns the fraction of its value that an answer is expected to lose
// if the prefill ends at prefillEnd from now. A late answer loses
// lateLossFraction of its value, and loses the rest as prefillEnd approaches
// firstEventPercent of the time left. The result may exceed one.
func lateLoss(prefillEnd time.Duration, r Request) float64 {
	loss := lateLossFraction * ramp(prefillEnd, r.Target*lateFromPercent/100, r.Target*lateToPercent/100)
	if r.TimeLeft > 0 {
		loss += (1 - lateLossFraction) * ramp(prefillEnd, r.TimeLeft*lateFromPercent/100, r.TimeLeft*firstEventPercent/100)
	}
	return loss + waitLossPerSecond*prefillEnd.Seconds()
}

// pauseLoss returns the fraction of its value that a stream is expected to lose
// by a pause between its events, if its caller accepts pauses of up to gap. The
// result may exceed one.
func pauseLoss(pause, gap time.Duration) float64 {
	leave := max(minLeavePause, leaveFactor*gap)
	return lateLossFraction*ramp(pause, gap*pauseFromPercent/100, gap*pauseToPercent/100) +
		(1-lateLossFraction)*ramp(pause, leave*leaveFromPercent/100, leave) +
		waitLossPerSecond*pause.Seconds()
}

// delayLossRate returns the value that a request loses with each second by which
// its prefill is delayed.
func delayLossRate(w works.Request) float64 {
	return answerValue(w.Prompt) * (waitLossPerSecond + lateLossFraction/max(minTarget, w.Target).Seconds())
}

// lossByHelping returns the value that other requests lose if the engine
// prefills a part as a helper.
func (v *engineView) lossByHelping(p part) float64 {
	if v.decoding > 0 {
		// An iteration prefills everything that is queued, so the part delays
		// decoding requests only.
		return v.stallLoss(p)
	}
	return v.queue.delayLoss(v.prefillTime(p))
}

// stallLoss returns the value that the engine's requests lose by the pause that
// the prefill of another part causes in their answers.
func (v *engineView) stallLoss(p part) float64 {
	if v.requests == 0 {
		return 0
	}
	before := v.backlog + v.decodeTime()
	return v.value * (pauseLoss(before+v.prefillTime(p), v.minGap) - pauseLoss(before, v.minGap))
}
