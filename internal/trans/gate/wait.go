package gate

import (
	"cmp"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	// If a stream has no event for gapFactor times the route's Gap, and for at
	// least minGapTimeout, another endpoint is tried; see gapWait.
	gapFactor     = 3
	minGapTimeout = 1600 * time.Millisecond
	// streamSlack is added to the wait for a stream's response header, which is
	// three times the estimated time to the first event or the route's target,
	// whichever is longer.
	streamSlack = 1500 * time.Millisecond
	// minAskInterval is the least time after which another endpoint is tried again.
	minAskInterval = 250 * time.Millisecond
	// releaseMargin is the time that is left for releasing memory before it has been
	// reserved for too long without use.
	releaseMargin = 1500 * time.Millisecond
)

// wait is the wait of an attempt for the next part of its answer.
type wait struct {
	began time.Time
	// length is the time after which another endpoint is tried, and then tried again;
	// zero if none is.
	length time.Duration
	// askAt is when another endpoint is tried next.
	askAt time.Time
}

func (w *wait) begin(now time.Time, length time.Duration) {
	*w = wait{began: now, length: length, askAt: now.Add(length)}
}

// continueAt begins a wait, unless the one that began at the given time goes on.
func (w *wait) continueAt(began time.Time, length time.Duration) {
	if !w.began.Equal(began) {
		w.begin(began, length)
	}
}

// end ends the wait, after which no other endpoint is tried.
func (w *wait) end() { *w = wait{} }

// prolong sets when another endpoint is tried next.
func (w *wait) prolong(now time.Time) {
	w.askAt = now.Add(max(minAskInterval, w.length))
}

// setReadDeadline sets the deadline of reads from the endpoint, after which OutlastsDeadline is
// called. It is called at once if something has happened meanwhile that it acts on.
func (a *attempt) setReadDeadline() {
	t := a.hardDeadline()
	if a.wait.length > 0 && a.wait.askAt.Before(t) {
		t = a.wait.askAt
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callerDisconnected || a.isCancelled || a.isGivenUp || a.wantsOther || a.current == a && len(a.reports) > 0 {
		t = conns.Expired
	}
	a.link.SetReadDeadline(t)
}

// hardDeadline returns when the attempt ends if it has no answer. A prompt with reserved
// memory waits no longer for its first event than that may stay unused.
func (a *attempt) hardDeadline() time.Time {
	limit := a.server.maxUnused(releaseMargin)
	if limit == 0 || len(a.choice.Reservations) == 0 || a.answer.events != nil && a.answer.events.hasEvents {
		return a.deadline
	}
	if t := a.startedAt.Add(limit); t.Before(a.deadline) {
		return t
	}
	return a.deadline
}

// headerWait returns how long the attempt waits for the response header before another
// endpoint is tried.
func (a *attempt) headerWait() time.Duration {
	if a.route.Kind != topol.Stream {
		return a.route.Target
	}
	return max(3*a.choice.Estimate, a.route.Target) + cmp.Or(a.server.HeaderSlack, streamSlack)
}

// gapWait returns how long the attempt waits for an event before another endpoint is tried.
func (a *attempt) gapWait() time.Duration {
	return max(cmp.Or(a.server.MinGapWait, minGapTimeout), gapFactor*a.route.Gap)
}
