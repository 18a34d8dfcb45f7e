package vqueue

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
)

const (
	// minRetry is the shortest time after which a deferred caller is told to retry.
	minRetry = 700 * time.Millisecond
	// minRateDivisor gives the least rate: the engines that accept requests, divided by it.
	minRateDivisor = 4
	// servablePercent is the percentage of the time left within which the first event of a
	// deferred prompt must be expected, or else its caller can't be served.
	servablePercent = 70
	// dueWindow is the time for which due work takes a share of the rate.
	dueWindow = time.Second
	// promptFactor and lateFactor are factors on the rate at which the work ahead of a prompt
	// is done: of one that can be in time, and of one that will be late and gets what those
	// leave. The first is above one, since some of the callers ahead never return or return late.
	promptFactor, lateFactor = 2, 0.8
	// returnPercent is the time until a caller returns, in percent of the time that it was
	// told: callers add up to as much again.
	returnPercent = 150
	// A prompt that will be late returns after the time left divided by lateDivisor, or later. If
	// it came back sooner, it would take time from prompts that can be in time.
	lateDivisor = 4
	// minBehind is the Favour above which a prompt returns early although it will be late.
	// The largest prompts take longest themselves, and would never be in time.
	minBehind = 1.5
	// minRateFactor is the least factor on the rate for a size class that is ahead.
	minRateFactor = 0.05
)

// Load describes what a deferred prompt finds at the engines.
type Load struct {
	// Engines is the number of engines that accept requests.
	Engines int
	// Estimate is the time from a retry to the first event. Target is the time within which
	// the caller expects it, and TimeLeft the time until the deadline.
	Estimate, Target, TimeLeft time.Duration
	// Favour is place.Request.Favour: above one if prompts of this size got less than their
	// part, below one if they got more while others wait. Zero means one.
	Favour float64
}

// RetryTime returns the time after which the caller of a deferred prompt should retry, and
// whether capacity is expected for the prompt then. If it is not, the caller can't be served
// before its deadline, and the time is after that.
func (q *Queue) RetryTime(p Prompt, l Load, now time.Time) (wait time.Duration, servable bool) {
	q.Expire(now)
	rate, ahead := q.rate(l.Engines, now)*l.rateFactor(), q.workAhead(p)
	wait = max(minRetry, timeFor(ahead, rate*promptFactor))
	if wait*returnPercent/100+l.Estimate > l.Target && l.Favour <= minBehind {
		wait = max(minRetry, l.TimeLeft/lateDivisor, timeFor(ahead, rate*lateFactor))
	}
	if l.TimeLeft > 0 && wait+l.Estimate > l.TimeLeft/100*servablePercent {
		return max(wait, l.TimeLeft), false
	}
	return wait, true
}

// rateFactor returns the factor on the rate for the size class of a prompt: below one if the
// class is ahead while another waits.
func (l Load) rateFactor() float64 {
	if l.Favour <= 0 {
		return 1
	}
	return max(minRateFactor, min(1, l.Favour))
}

// timeFor returns the time in which work is done at a rate, at most maxWait.
func timeFor(work time.Duration, rate float64) time.Duration {
	return time.Duration(min(float64(maxWait), float64(work)/rate))
}

// rate returns the work per second that the service accepts from prompts that may be deferred,
// in engines.
func (q *Queue) rate(engines int, now time.Time) float64 {
	least := max(1, float64(engines)/minRateDivisor)
	if len(q.admissions) == 0 {
		return least
	}
	window := rateWindow
	if len(q.admissions) == maxAdmissions {
		window = max(time.Millisecond, now.Sub(q.admissions[0].at))
	}
	return max(least, q.admittedWork.Seconds()/window.Seconds())
}

// workAhead returns the work of others that is ahead of a prompt by fair queueing: of each
// workspace, as much as makes it get no more than the prompt's own workspace.
func (q *Queue) workAhead(p Prompt) time.Duration {
	own := p.Work
	if a := q.accounts[p.Workspace]; a != nil {
		own += a.waiting + a.got
	}
	before := q.byRequest[p.Request]
	if before != nil {
		own -= before.Work
	}
	var sum time.Duration
	for n, a := range q.accounts {
		waiting := a.waiting
		if before != nil && n == before.Workspace {
			waiting -= before.Work
		}
		sum += max(0, min(waiting, own-a.got))
	}
	return sum
}

// Place is what the queue knows of a prompt that arrives.
type Place int

const (
	// NoPlace is that of a prompt without an entry.
	NoPlace Place = iota
	// EarlyPlace is that of a prompt that arrives clearly before its retry time.
	EarlyPlace
	// KeptPlace is that of a prompt that arrives at its retry time or later.
	KeptPlace
)

// Find returns the place of a prompt that arrives now.
func (q *Queue) Find(r bysize.RequestKey, now time.Time) Place {
	q.Expire(now)
	e := q.byRequest[r]
	switch {
	case e == nil:
		return NoPlace
	case now.Before(e.due.Add(-earlyMargin)):
		return EarlyPlace
	}
	return KeptPlace
}

// DueShare returns the share of the rate that the prompts take which are due and have not
// returned, from zero to one.
func (q *Queue) DueShare(engines int, now time.Time) float64 {
	q.Expire(now)
	if len(q.entries) == 0 {
		return 0
	}
	var due time.Duration
	for _, e := range q.entries {
		if !now.Before(e.due.Add(-earlyMargin)) && now.Before(e.due.Add(minHold)) {
			due += e.Work
		}
	}
	return min(1, due.Seconds()/(q.rate(engines, now)*dueWindow.Seconds()))
}
