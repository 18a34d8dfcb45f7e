package gate

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// canRunElsewhere reports whether the request may run again at another
// endpoint if this attempt fails.
func (a *attempt) canRunElsewhere() bool {
	return a.route.Repeatable() && a.possibleRuns+1 < a.route.Attempts
}

// setReadDeadline sets the deadline of reads from the endpoint. If the caller
// has disconnected, they fail at once.
func (a *attempt) setReadDeadline(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callerDisconnected || a.linkLost {
		t = expiredDeadline
	}
	a.link.SetReadDeadline(t)
}

// headerDeadline returns the read deadline for the response header. If it
// passes, another endpoint is tried if possible. A prompt with reserved memory
// waits no longer than that may stay unused.
func (a *attempt) headerDeadline() time.Time {
	if a.route.Kind != topol.Stream {
		return a.waitDeadline(time.Now(), a.route.Target)
	}
	t := a.waitDeadline(time.Now(), max(3*a.choice.Estimate, a.route.Target)+streamSlack)
	if limit := a.server.MaxUnusedMemory - releaseMargin; limit > 0 && len(a.choice.Reservations) > 0 && t.After(a.startedAt.Add(limit)) {
		return a.startedAt.Add(limit)
	}
	return t
}

// releaseMargin is the time that is left for releasing memory before it has been reserved
// for too long without use.
const releaseMargin = 1500 * time.Millisecond

// waitDeadline returns the end of a wait that began at the given time, after which
// another endpoint is tried. It is the request's deadline if that is earlier or if
// no other endpoint may run the request.
func (a *attempt) waitDeadline(began time.Time, wait time.Duration) time.Time {
	t := began.Add(wait)
	if !a.canRunElsewhere() || a.deadline.Before(t) {
		return a.deadline
	}
	return t
}

// streamSlack is added to the wait for a stream's response header, which is
// three times the estimated time to the first event or the route's target,
// whichever is longer.
const streamSlack = 1500 * time.Millisecond
