package place

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
)

const (
	// maxLossPerSecond bounds the value that other requests may lose by a prompt,
	// for each second that its prefill takes on one engine. The bound grows with
	// the work, like the loss itself, and not with the value of the answer. So
	// prompts of all sizes are deferred at about the same load.
	maxLossPerSecond = 2.0
	// minLossFraction is the least fraction of the bound that applies to a prompt
	// that will be late.
	minLossFraction = 0.05
	// favouredFraction is the fraction of the bound that applies to a prompt whose size
	// class is behind, if it doesn't have to wait.
	favouredFraction = 0.4
	// maxInteractiveLossPerSecond bounds what interactive callers may lose by a
	// prompt that is favoured, for each second that its prefill takes on one engine.
	maxInteractiveLossPerSecond = 0.55
	// yieldingFraction is the fraction of the bound on what interactive callers may lose
	// that applies to a prompt whose size class is ahead while another waits.
	yieldingFraction = 0.15
	// firstTryFraction is the fraction of the bound that applies to the first try
	// of a prompt.
	firstTryFraction = 0.6
	// longPrefill is the prefill time on one engine above which a prompt is
	// deferred even if its caller does not tolerate pauses.
	longPrefill = 8 * time.Second
	// A request that is expected to miss its target is deferred only if the
	// backlog is more than the target divided by deferBacklogDivisor: if the
	// request would be late even without the backlog, waiting doesn't help.
	deferBacklogDivisor = 10
)

// meanBacklog returns the mean backlog of the engines outside the interactive
// pool, or zero if there are none.
func meanBacklog(vs []*engineView) time.Duration {
	var sum time.Duration
	n := time.Duration(0)
	for _, v := range vs {
		if v.interactive {
			continue
		}
		sum += v.backlog
		n++
	}
	return sum / max(1, n)
}

// IsDeferrable reports whether a request may be deferred: its caller tolerates pauses, or
// its prompt is long.
func IsDeferrable(e *topol.Engine, r Request) bool {
	v := engineView{spec: e}
	return r.toleratesPauses() || v.prefillTime(split(r.Prompt, 1)) > longPrefill
}

// shouldDefer reports whether the caller should retry later, when less prefill is
// queued. That is so if other requests would lose too much, or, for a first try, if
// the prompt would miss its target because of the backlog.
func (p plan) shouldDefer(c Choice, r Request) bool {
	if c.Load.LossOfOthers > c.Load.MaxLossOfOthers || c.Load.InteractiveLoss > c.Load.MaxInteractiveLoss {
		return true
	}
	return !r.IsRetry && c.Estimate > r.Target && p.maxBacklog() > r.Target/deferBacklogDivisor
}

// maxBacklog returns the longest backlog of the plan's engines.
func (p plan) maxBacklog() time.Duration {
	longest := p.primary.backlog
	for _, h := range p.helpers {
		longest = max(longest, h.backlog)
	}
	return longest
}

// delayLoss is the value that requests in flight lose by a delay.
type delayLoss struct {
	// interactive is the part that interactive callers lose, tolerant that of the others.
	interactive, tolerant float64
}

func (l delayLoss) total() float64 { return l.interactive + l.tolerant }

// addStall adds what an engine's requests lose by the prefill of a part.
func (l *delayLoss) addStall(v *engineView, p part) {
	if v.value == 0 {
		return
	}
	loss := v.stallLoss(p)
	l.interactive += loss * v.interactiveValue / v.value
	l.tolerant += loss * (v.value - v.interactiveValue) / v.value
}

// lossByDelay returns the value that the requests in flight lose by a plan. Each prompt
// counts once, however many of its parts are delayed, since they are delayed at the same
// time. plan.lossOfOthers, by which plans are compared, counts it for each part.
func (p plan) lossByDelay(inFlight []works.Request, r Request) delayLoss {
	part := split(r.Prompt, len(p.helpers)+1)
	var sum delayLoss
	sum.addStall(p.primary, part)
	losses := make([]float64, len(inFlight))
	for _, h := range p.helpers {
		if h.decoding > 0 {
			sum.addStall(h, part)
			continue
		}
		h.queue.addLosses(losses, h.prefillTime(part))
	}
	for i, l := range losses {
		if toleratesPauses(inFlight[i].Gap) {
			sum.tolerant += l
			continue
		}
		sum.interactive += l
	}
	return sum
}

// prefillOnOneEngine returns the time that one engine would take to prefill the
// whole prompt.
func (p plan) prefillOnOneEngine(r Request) time.Duration {
	return p.primary.prefillTime(split(r.Prompt, 1))
}

// setLoss sets what the requests in flight lose by a plan, and the bounds on that.
func (p plan) setLoss(l *Load, inFlight []works.Request, r Request) {
	loss := p.lossByDelay(inFlight, r)
	fraction := max(minLossFraction, 1-lateLoss(p.prefillEnd, r))
	l.Favour = r.favour()
	l.LossOfOthers, l.MaxLossOfOthers = loss.total(), p.maxLossByDelay(r, max(fraction, p.favouredFraction(r)))*l.Favour
	l.InteractiveLoss, l.MaxInteractiveLoss = loss.interactive, max(p.maxLossByDelay(r, fraction), maxInteractiveLossPerSecond*p.prefillOnOneEngine(r).Seconds())
	if l.Favour < 1 {
		l.MaxInteractiveLoss *= yieldingFraction
	}
}

// favouredFraction returns the least fraction of the bound that applies to a prompt whose size
// class is behind, or zero for one whose class is not. It falls the longer the prompt has to
// wait for others, but not with the time that it takes itself: the largest take longest,
// whatever the load.
func (p plan) favouredFraction(r Request) float64 {
	if r.favour() <= 1 {
		return 0
	}
	wait := p.prefillEnd - p.primary.prefillTime(split(r.Prompt, len(p.helpers)+1))
	return favouredFraction * (1 - lateLoss(wait, r))
}

// maxLossByDelay returns the value that the requests in flight may lose by a plan, given
// the fraction of the bound that applies. It grows with the prefill time of the prompt, and
// is higher for a retry.
func (p plan) maxLossByDelay(r Request, fraction float64) float64 {
	limit := maxLossPerSecond * p.prefillOnOneEngine(r).Seconds() * fraction
	if !r.IsRetry {
		limit *= firstTryFraction
	}
	return limit
}

// favour returns the factor on the bound, which is one unless Favour is set.
func (r Request) favour() float64 {
	if r.Favour == 0 {
		return 1
	}
	return r.Favour
}

const (
	// minRetryAfter is the shortest time after which a rejected caller should
	// retry. Above that, the time is at most the time left divided by
	// retryAfterDivisor.
	minRetryAfter     = 700 * time.Millisecond
	retryAfterDivisor = 3
)

// RetryAfter returns the time after which a caller rejected because of load
// should retry. By then, the backlog should have shrunk so far that the first
// event is expected within half of the target. If all slots are taken, most engines
// should have a free one. The time is bounded, so that the request can still be
// answered before its deadline.
func RetryAfter(c Choice, r Request) time.Duration {
	return max(minRetryAfter, min(max(c.Estimate-r.Target/2, c.Load.SlotWait), r.TimeLeft/retryAfterDivisor))
}
