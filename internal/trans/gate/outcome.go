package gate

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// rejectUnplaced ends a request that is not sent to any further endpoint. err is
// the reason.
func (x *exchange) rejectUnplaced(err error, retryAfter time.Duration) {
	if errors.Is(err, place.ErrFull) && x.failedReservations > 0 {
		err = errUnreserved
	}
	if errors.Is(err, place.ErrNoEndpoint) && len(x.limited.atLimit) > 0 {
		err = errLimited
		if len(x.limited.cold) > 0 {
			err = errCold
		}
	}
	x.countRejection(err, x.isRetry())
	if errors.Is(err, errEvacuated) {
		x.server.getMetrics().evacuated.Inc()
	}
	if isCausedByLoad(err) {
		x.recordRefused()
	}
	if errors.Is(err, errNoHome) {
		x.recordNoHome()
	}
	switch {
	case x.headerSent:
		x.reject(0, 0, "stream not resumed: "+err.Error())
	case errors.Is(err, errCrashesEndpoints) && x.possibleRuns == 0:
		x.reject(503, retryAfter, err.Error())
	case x.possibleRuns > 0:
		x.rejectPossiblyRun(err.Error(), time.Now())
	case isCausedByLoad(err):
		x.reject(503, retryAfter, err.Error())
	case errors.Is(err, errResting), errors.Is(err, errStopping), errors.Is(err, errEvacuated), errors.Is(err, errNoHome):
		x.reject(503, retryAfter, err.Error())
	case errors.Is(err, errLimited), errors.Is(err, errCold):
		x.reject(503, max(retrySoon/4, x.limited.wait), err.Error())
	case errors.Is(err, place.ErrTooLarge):
		// Coming back doesn't help the caller.
		x.reject(503, 0, err.Error())
	default:
		x.reject(503, retrySoon, err.Error())
	}
}

// isCausedByLoad reports whether a request could not be placed because of the load.
func isCausedByLoad(err error) bool {
	return errors.Is(err, place.ErrFull) || errors.Is(err, place.ErrLate) || errors.Is(err, place.ErrDeferred) || errors.Is(err, errUnreserved)
}

// settle records the outcome of an attempt that has ended.
func (x *exchange) settle(a *attempt, now time.Time) {
	x.recordOutcome(a.choice, a.outcome, now)
	x.server.observeOutcome(a)
	x.server.endTrial(x.takeTrial())
	x.recordDoubts(a)
	switch a.outcome.result {
	case complete:
		return
	case evacuated:
		x.sends--
		return
	case unreserved:
		x.recordUnreservedEngines(a.outcome.unreservedEngines)
		return
	}
	if a.outcome.result.mayHaveRun() {
		x.possibleRuns++
	}
	x.tried.Add(a.choice.Primary.Name)
	x.sentTo = append(x.sentTo, a.choice.Primary.Address)
}

// recordUnreservedEngines records the engines at which memory could not be
// reserved. The send doesn't count, since nothing was sent.
func (x *exchange) recordUnreservedEngines(engines map[ident.EndpointName]error) {
	x.sends--
	x.failedReservations++
	for n := range engines {
		x.unreservedEngines.Add(n)
	}
}

// handleOutcome decides whether the request is sent again after the outcome of its last
// attempt. It returns true if the request has ended.
func (x *exchange) handleOutcome(o outcome, now time.Time) bool {
	s := x.server
	canRetry := now.Before(x.deadline) && x.sends < maxSends
	switch o.result {
	case complete:
		return true
	case notSent, evacuated:
		return false
	case unreserved:
		if x.failedReservations < maxReservationAttempts {
			return false
		}
		x.rejectUnplaced(place.ErrFull, retryLater)
		return true
	case refused:
		if canRetry && !x.allTried() && s.takeRetry(x.service.Name) {
			return false
		}
	default:
		if canRetry && x.mayRunElsewhere(now) && !x.allTried() && s.takeRetry(x.service.Name) {
			x.awaitCauses()
			return false
		}
	}
	x.respondWithOutcome(o, now)
	return true
}

// allTried reports whether all endpoints of the service that accept requests have been
// tried or are at their limits.
func (x *exchange) allTried() bool {
	excluded := x.excluded()
	for _, e := range x.candidates(time.Now()) {
		if !e.Leaving && !excluded.Has(e.Name) {
			return false
		}
	}
	return true
}

// respondWithOutcome ends the request with the outcome of its last send.
func (x *exchange) respondWithOutcome(o outcome, now time.Time) {
	x.recordUnserved()
	switch {
	case x.headerSent:
		x.reject(0, 0, "stream not resumed: "+o.reason)
	case o.promisesNotRun() && x.mayHaveRunBefore(o):
		x.rejectPossiblyRun(o.reason, now)
	case o.isMisdirected():
		// The status is about the address to which this node sent the request.
		x.reject(503, retrySoon, o.reason)
	case o.response != nil:
		x.countRequestEnd(strconv.Itoa(o.status))
		x.writeResponse(o.response)
	case o.result == refused:
		x.reject(503, retrySoon, o.reason)
	case !now.Before(x.deadline):
		x.reject(504, 0, o.reason)
	default:
		x.reject(502, 0, o.reason)
	}
}

// mayHaveRun reports whether a send that has ended or is under way may run the request.
func (x *exchange) mayHaveRun() bool {
	return x.possibleRuns > 0 || x.current != nil || len(x.others) > 0
}

// mayHaveRunBefore reports whether a send other than the one with an outcome, which has been
// settled, may have run the request.
func (x *exchange) mayHaveRunBefore(o outcome) bool {
	if o.result.mayHaveRun() {
		return x.possibleRuns > 1
	}
	return x.possibleRuns > 0
}

// promisesNotRun reports whether callers would take the endpoint's answer as the promise that the
// request has not run.
func (o *outcome) promisesNotRun() bool { return o.result == refused || promisesNotRun(o.status) }

// rejectPossiblyRun ends a request that an earlier send may have run, without the answer to the
// last one, which is a promise for that one alone.
func (x *exchange) rejectPossiblyRun(reason string, now time.Time) {
	if !now.Before(x.deadline) {
		x.reject(504, 0, "no response before the deadline")
		return
	}
	x.reject(502, 0, "no response, the request may have run: "+reason)
}

// recordOutcome records the outcome of a send in the metrics, the log and the
// health of the endpoint.
func (x *exchange) recordOutcome(c place.Choice, o outcome, now time.Time) {
	s := x.server
	s.getMetrics().sends.WithLabelValues(o.result.String()).Inc()
	e := s.requestLog(o.result == complete && !x.isDecided).Str("request", x.reqHeader.ID).Str("endpoint", string(c.Primary.Name)).Strs("helpers", endpointNames(c.Helpers)).
		Str("result", o.result.String()).Str("why", o.reason).Dur("estimate", c.Estimate).Dur("first", o.timeToFirst).Dur("gap", o.maxGap).
		Dur("took", now.Sub(o.startedAt)).Dur("after", now.Sub(x.arrived)).Int64("prompt", int64(x.reqHeader.Prompt)).
		Str("route", string(x.route.Name)).Int("status", o.status).Bool("waits", c.Waits)
	if x.isDecided {
		e = x.addLoad(e)
	}
	e.Msg("gate: sent")
	if o.result == complete {
		if o.whole {
			x.countBySize("served")
		}
		x.countRequestEnd(strconv.Itoa(o.status))
		x.observeLatency(now.Sub(x.arrived) - now.Sub(o.startedAt) + o.timeToFirst)
	}
	if o.isWholeAnswer {
		x.recordEndedWell(o, c.Primary.Name)
	}
	switch {
	case o.faultAddress != "":
		x.recordFaultAt(o.faultAddress, now)
	case o.result == complete:
		s.endpointHealth.recordSuccess(c.Primary.Name)
	case o.flooded:
		s.recordFlood(c.Primary, now)
	case o.linkLost, o.result == superseded:
		// The silence of one that was superseded has been recorded.
	case o.reason == errStopping.Error(), o.reason == errEvacuated.Error(), o.reason == errLapsed.Error():
		// Nothing is known of the endpoint.
	case o.result == notSent || o.result == unanswered:
		x.recordFailureAt(c.Primary, o, now)
	case o.result == failed && x.service.Engine != nil && !o.rests:
		s.endpointHealth.recordFailure(c.Primary.Name, now)
	}
}

// recordSilence records that an endpoint is silent, and why no other one is tried beside it if
// err is not nil.
func (x *exchange) recordSilence(a *attempt, err error, now time.Time) {
	if errors.Is(err, errNoFurtherRun) {
		return
	}
	x.server.requestLog(false).Err(err).Str("request", x.reqHeader.ID).Str("endpoint", string(a.choice.Primary.Name)).
		Dur("after", now.Sub(x.arrived)).Str("route", string(x.route.Name)).Msg("gate: endpoint is silent")
	// A request that waits for a slot is silent at a sound endpoint too.
	if !a.isLinkLost() && !a.choice.Waits {
		x.recordFailureAt(a.choice.Primary, outcome{result: unanswered, timedOut: true, startedAt: a.startedAt}, now)
	}
}

// recordFailureAt records that an endpoint could not be reached or did not answer, and looks for
// the cause. The peers are informed if it isn't the link of this node, and the request gets a
// strike if the endpoint has crashed.
func (x *exchange) recordFailureAt(e *topol.Endpoint, o outcome, now time.Time) {
	s := x.server
	s.pool(e.Address).CloseIdle()
	isNew := false
	if o.result == notSent || o.timedOut {
		isNew = s.recordLost(e.Name, now)
	} else {
		isNew = s.endpointHealth.recordFailure(e.Name, now)
	}
	var strike *strik.Strike
	if o.connBroken {
		strike = x.newStrike(e.Name, o.startedAt, now)
	}
	if strike == nil && (!isNew || len(s.Peers(now)) == 0) {
		return
	}
	var trial *strik.Trial
	if strike != nil {
		// The trial goes on until its outcome is known.
		trial = x.takeTrial()
	}
	pending := s.await(strike)
	go func() {
		defer s.endTrial(trial)
		found := s.look(context.Background(), e)
		if isNew {
			s.announceFailure(e, found.cause, o.connBroken)
		}
		cause := found.cause
		if pending != nil {
			cause = s.investigate(context.Background(), e, found)
		}
		if cause == ownLinkLost {
			s.endpointHealth.recordSuccess(e.Name)
			s.clearLost(e.Name)
		}
		// Peers take an announced failure for a loss unless a strike follows.
		x.resolve(pending, cause.hasEnded())
	}()
}

// announceFailure informs the peers of an endpoint that failed, if the cause isn't the link of this
// node. connBroken is set if it broke a connection.
func (s *Server) announceFailure(e *topol.Endpoint, cause breakCause, connBroken bool) {
	switch cause {
	case endpointAlive:
		if connBroken {
			s.AnnounceBreak(e.Name)
			return
		}
		s.AnnounceFailure(e.Name)
	case endpointUnresponsive, endpointCrashed:
		s.AnnounceFailure(e.Name)
	}
}

// recordFaultAt records a failure of the endpoint at addr, which another
// endpoint named as the cause of a failure. The request is no longer sent to the
// endpoint at addr.
func (x *exchange) recordFaultAt(addr string, now time.Time) {
	if e := x.server.Feeds.Endpoints().ByAddress[addr]; e != nil {
		if x.server.endpointHealth.recordFailure(e.Name, now) {
			x.server.AnnounceFailure(e.Name)
		}
		x.tried.Add(e.Name)
	}
}

// endpointNames returns the names of endpoints for a log line.
func endpointNames(es []*topol.Endpoint) []string {
	ns := make([]string, len(es))
	for i, e := range es {
		ns[i] = string(e.Name)
	}
	return ns
}
