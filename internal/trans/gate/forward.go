package gate

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
)

const (
	// maxSends bounds the sends of one request, including those that the
	// endpoint refused or that could not reach it. The route's Attempts bounds
	// only the sends that may have run the request.
	maxSends = 4
)

// forward sends the request to endpoints until it has a response or is
// rejected.
func (x *exchange) forward() {
	defer func() { x.server.endTrial(x.takeTrial()) }()
	for {
		if ok, wait := x.checkParts(time.Now()); !ok {
			x.rejectUnplaced(errCrashesEndpoints, wait)
			return
		}
		c, r, err := x.choose()
		if errors.Is(err, place.ErrNoEndpoint) && len(x.limited.atLimit) > 0 && x.fetchPermit() {
			continue
		}
		if err != nil {
			x.rejectUnplaced(err, x.retryAfter(err, c, r))
			return
		}
		if !x.takeLimit(c.Primary) {
			// Another request has just taken its place.
			continue
		}
		x.server.endpointHealth.recordChosen(c.Primary.Name, time.Now())
		if x.follow(x.newAttempt(c)) {
			return
		}
	}
}

// follow runs an attempt, and goes over to one beside it if that answers first, until none is
// under way. It reports whether the request has ended.
func (x *exchange) follow(a *attempt) bool {
	x.setCurrent(a)
	isReady := a.begin()
	for {
		if isReady && x.next == nil {
			a.relay()
		}
		next := x.endCurrent()
		if !x.isCallerDisconnected() {
			x.settle(a, time.Now())
			if next == nil && a.outcome.result != complete {
				next = x.awaitOther()
			}
		}
		switch {
		case x.isCallerDisconnected():
			x.endNext(next)
			x.cancelOthers()
			x.recordLeft()
			return true
		case next == nil:
			x.cancelOthers()
			return x.handleOutcome(a.outcome, time.Now())
		}
		a, isReady = next, true
		x.setCurrent(a)
	}
}

// endCurrent ends the current attempt. It returns the one that it was left for, if any.
func (x *exchange) endCurrent() (next *attempt) {
	a := x.current
	next, x.next = x.next, nil
	if next != nil {
		a.outcome.result, a.outcome.reason = superseded, errSuperseded.Error()
	}
	a.end()
	x.setCurrent(nil)
	return next
}

// endNext ends an attempt whose answer is not passed on; it may be nil.
func (x *exchange) endNext(b *attempt) {
	if b != nil {
		x.recordCancelled(b)
		b.end()
	}
}

// recordLeft records that the caller has disconnected.
func (x *exchange) recordLeft() {
	x.closing = closeLeft
	x.countRequestEnd("left")
	x.recordUnserved()
	x.server.requestLog(false).Str("request", x.reqHeader.ID).Dur("after", time.Since(x.arrived)).Msg("gate: caller left")
}
