package place

import "time"

const (
	// maxLossPerSecond bounds the value that other requests may lose by a prompt,
	// for each second that its prefill takes on one engine. The bound grows with
	// the work, like the loss itself, and not with the value of the answer. So
	// prompts of all sizes are deferred at about the same load.
	maxLossPerSecond = 2.0
	// minLossFraction is the least fraction of the bound that applies to a prompt
	// that will be late.
	minLossFraction = 0.05
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

// deferrable reports whether a request may be deferred: its caller tolerates pauses,
// or its prompt is long.
func (p plan) deferrable(r Request) bool {
	return r.toleratesPauses() || p.prefillOnOneEngine(r) > longPrefill
}

// shouldDefer reports whether the caller should retry later, when less prefill is
// queued. That is so if other requests would lose too much, or, for a first try, if
// the prompt would miss its target because of the backlog.
func (p plan) shouldDefer(c Choice, r Request) bool {
	if c.Load.LossOfOthers > c.Load.MaxLossOfOthers {
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

// lossByDelay returns the value that the requests in flight lose by a plan; requests
// is their number. Each prompt counts once, however many of its parts are delayed,
// since they are delayed at the same time. plan.lossOfOthers, by which plans are
// compared, counts it for each part.
func (p plan) lossByDelay(requests int, r Request) float64 {
	part := split(r.Prompt, len(p.helpers)+1)
	loss := p.primary.stallLoss(part)
	losses := make([]float64, requests)
	for _, h := range p.helpers {
		if h.decoding > 0 {
			loss += h.stallLoss(part)
			continue
		}
		h.queue.addLosses(losses, h.prefillTime(part))
	}
	for _, l := range losses {
		loss += l
	}
	return loss
}

// prefillOnOneEngine returns the time that one engine would take to prefill the
// whole prompt.
func (p plan) prefillOnOneEngine(r Request) time.Duration {
	return p.primary.prefillTime(split(r.Prompt, 1))
}

// maxLossByDelay returns the value that the requests in flight may lose by a plan.
// It grows with the prefill time of the prompt, falls the later its answer is
// expected, and is higher for a retry.
func (p plan) maxLossByDelay(r Request) float64 {
	limit := maxLossPerSecond * p.prefillOnOneEngine(r).Seconds() * max(minLossFraction, 1-lateLoss(p.prefillEnd, r))
	if !r.IsRetry {
		limit *= firstTryFraction
	}
	return limit
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
// event is expected within half of the target. The time is bounded, so that the
// request can still be answered before its deadline.
func RetryAfter(c Choice, r Request) time.Duration {
	return max(minRetryAfter, min(c.Estimate-r.Target/2, r.TimeLeft/retryAfterDivisor))
}
