package place

import "time"

const (
	// lowBacklog and highBacklog bound the range of the mean backlog in which
	// the limit on a prompt's prefill time falls from maxWorkAtLowBacklog to
	// maxWorkAtHighBacklog.
	lowBacklog  = 150 * time.Millisecond
	highBacklog = 500 * time.Millisecond
	// These are the limits on the time that a prompt takes to prefill on one
	// engine. The attention pairs make that time grow with the square of the
	// prompt's size, so one of the largest prompts displaces many others.
	maxWorkAtLowBacklog  = 32 * time.Second
	maxWorkAtHighBacklog = 8 * time.Second
	// minValueFraction is the fraction of its value that an answer is counted
	// with even if it is late.
	minValueFraction = 0.02
	// lossOfOthersLimit is the fraction of its expected value that a prompt may
	// cost other requests.
	lossOfOthersLimit = 0.6
	// A request is deferred only if the backlog is more than its target divided
	// by deferBacklogDivisor: if it would be late without the backlog, waiting
	// doesn't help.
	deferBacklogDivisor = 10
)

// costly reports whether the prefill of a prompt takes more engine time than the
// current load allows. The engines of the interactive pool don't count.
func costly(vs []*engineView, r Request) bool {
	work := vs[0].prefillTime(split(r.Prompt, 1))
	if work <= maxWorkAtHighBacklog {
		return false
	}
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
		return true
	}
	load := ramp(sum/n, lowBacklog, highBacklog)
	limit := maxWorkAtLowBacklog - time.Duration(load*float64(maxWorkAtLowBacklog-maxWorkAtHighBacklog))
	return work > limit
}

// shouldDefer reports whether a caller who tolerates pauses should retry when
// less prefill is queued. A retry is accepted unless it costs others more than
// it is worth.
func (p plan) shouldDefer(estimate time.Duration, r Request) bool {
	if !r.toleratesPauses() {
		return false
	}
	if p.costsOthersTooMuch(r) {
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

// costsOthersTooMuch reports whether a plan costs other requests more than its
// answer is worth. The limit is higher for a retry.
func (p plan) costsOthersTooMuch(r Request) bool {
	limit := r.weight * max(minValueFraction, 1-lateLoss(p.prefillEnd, r))
	if !r.IsRetry {
		limit *= lossOfOthersLimit
	}
	return p.lossOfOthers > limit
}

const (
	// minRetryAfter is the shortest time after which a rejected caller should
	// retry; the longest is the time left divided by retryAfterDivisor.
	minRetryAfter     = 700 * time.Millisecond
	retryAfterDivisor = 3
)

// RetryAfter returns the time after which a caller rejected because of load
// should retry: when most of the backlog is prefilled, but early enough for the
// request to be answered in time.
func RetryAfter(c Choice, r Request) time.Duration {
	return max(minRetryAfter, min(c.Estimate-r.Target/2, r.TimeLeft/retryAfterDivisor))
}
