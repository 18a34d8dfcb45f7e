package place

import "time"

const (
	// The limit on a prompt's prefill time falls linearly from
	// maxPrefillAtLowBacklog to maxPrefillAtHighBacklog as the mean backlog grows
	// from lowBacklog to highBacklog.
	lowBacklog  = 150 * time.Millisecond
	highBacklog = 500 * time.Millisecond
	// These limit the time that the prefill of a prompt takes on one engine. The
	// attention pairs make that time grow with the square of the prompt's size,
	// so one of the largest prompts displaces many others.
	maxPrefillAtLowBacklog  = 32 * time.Second
	maxPrefillAtHighBacklog = 8 * time.Second
	// minValueFraction is the least fraction of its value that a late answer
	// counts for.
	minValueFraction = 0.02
	// maxLossFraction bounds the loss that a prompt may cause to other requests,
	// as a fraction of its own expected value. A retry may cause a loss of up to
	// its whole expected value.
	maxLossFraction = 0.6
	// A request that is expected to miss its target is deferred only if the
	// backlog is more than the target divided by deferBacklogDivisor: if the
	// request would be late even without the backlog, waiting doesn't help.
	deferBacklogDivisor = 10
)

// meanBacklog returns the mean backlog of the engines outside the interactive
// pool. Without such engines, it is highBacklog.
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
	if n == 0 {
		return highBacklog
	}
	return sum / n
}

// costly reports whether the prefill time of a prompt exceeds the limit at the
// mean backlog of the engines.
func costly(vs []*engineView, backlog time.Duration, r Request) bool {
	load := ramp(backlog, lowBacklog, highBacklog)
	limit := maxPrefillAtLowBacklog - time.Duration(load*float64(maxPrefillAtLowBacklog-maxPrefillAtHighBacklog))
	return vs[0].prefillTime(split(r.Prompt, 1)) > limit
}

// shouldDefer reports whether a caller who tolerates pauses should retry later,
// when less prefill is queued. That is so if other requests would lose too much,
// or, for a first try, if the prompt would miss its target because of the backlog.
func (p plan) shouldDefer(load Load, estimate time.Duration, r Request) bool {
	if !r.toleratesPauses() {
		return false
	}
	if load.LossOfOthers > load.MaxLossOfOthers {
		return true
	}
	return !r.IsRetry && estimate > r.Target && p.maxBacklog() > r.Target/deferBacklogDivisor
}

// maxBacklog returns the longest backlog of the plan's engines.
func (p plan) maxBacklog() time.Duration {
	longest := p.primary.backlog
	for _, h := range p.helpers {
		longest = max(longest, h.backlog)
	}
	return longest
}

// lossByDelay returns the value that the requests in flight lose by a plan. Each
// prompt counts once, however many of its parts are delayed, since they are
// delayed at the same time. plan.lossOfOthers, by which plans are compared, counts
// it for each part.
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

// maxLossOfOthers returns the value that other requests may lose by a plan. It is
// a part of the expected value of the plan's answer, and higher for a retry.
func (p plan) maxLossOfOthers(r Request) float64 {
	limit := r.value * max(minValueFraction, 1-lateLoss(p.prefillEnd, r))
	if !r.IsRetry {
		limit *= maxLossFraction
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
