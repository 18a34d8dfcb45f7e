package soak

import (
	"fmt"
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Violation is a broken guarantee. Rule names the guarantee:
//   - cold: a cold endpoint gets hardly more requests than it tolerates.
//   - cut: a stream isn't cut off because a sound endpoint falls silent in it.
//   - drain: a node sends no new requests to an endpoint that has departed.
//   - evacuated: no request reaches an endpoint of an evacuated data centre.
//   - exit: a node doesn't exit on its own.
//   - gone: a run ends soon after its caller closed the connection.
//   - late: a request ends within its timeout.
//   - limit: an endpoint that names a limit gets hardly more requests.
//   - lost: a graceful shutdown cuts no request off.
//   - mixed: a response has the content that belongs to its request, and a valid
//     key and route are accepted.
//   - part: prompts with a part that is known to crash endpoints are not sent.
//   - recover: a node that is cut from all endpoints serves as the others do.
//   - refused: a request of kind Once that was answered with 429 or 503 has not
//     run, and no endpoint has answered any other one whole that was answered so.
//   - rest: an endpoint that asks for rest gets hardly any requests.
//   - returned: a data centre whose evacuation was taken back gets requests again.
//   - revoked: no request with a revoked key runs.
//   - route: an endpoint gets only requests for its service.
//   - served: most requests succeed while there are no faults.
//   - stop: a graceful shutdown takes no longer than the grace period.
//   - twice: a request of kind Once runs at most once.
//   - unanswered: a request on a kept connection gets an answer, unless the connection was
//     known to be ended, was announced to be closed, or had been idle for too long.
//   - unasked: an endpoint gets only requests of callers, with an unchanged body,
//     the right workspace and without the caller's key.
//
// The rule soak reports an error of the test itself.
type Violation struct {
	Rule, Text string
}

// timedRules are the rules that depend on time limits. On a busy machine, they can
// be violated even if the nodes are correct.
var timedRules = ident.SetOf("late", "gone", "drain", "limit", "served", "lost", "stop", "revoked", "recover", "part", "rest", "cut", "evacuated", "returned", "cold")

// IsTimed reports whether the guarantee depends on a time limit, so that it can be
// violated on a busy machine even if the nodes are correct.
func (v Violation) IsTimed() bool { return timedRules.Has(v.Rule) }

// Bounds holds the limits that Check applies. DrainDelay and RevocationDelay are
// also written to the settings of the nodes, as are EvacuateDelay, ColdOverage and ColdSlack.
type Bounds struct {
	// SettleTime is how long a node may need to recover from a disturbance. Until
	// then, DrainDelay, TimeoutSlack and CancelDelay do not apply to its requests.
	SettleTime time.Duration
	// DrainDelay is how long an endpoint may still get requests after its
	// departure, that is after its record was marked as leaving or removed.
	// RevocationDelay is how long a key may still be accepted after its revocation.
	DrainDelay, RevocationDelay time.Duration
	// TimeoutSlack is how long after its timeout a request may end.
	TimeoutSlack time.Duration
	// LossWindow is the time after sending within which a request may fail in a
	// graceful shutdown if no endpoint got it.
	LossWindow time.Duration
	// CancelDelay is how long a run may continue after its caller closed the
	// connection.
	CancelDelay time.Duration
	// MaxExceptions is the number of requests that may exceed TimeoutSlack.
	// CancelDelay may be exceeded by as many abandoned requests, or by a quarter of
	// them if that is more.
	MaxExceptions int
	// MinServed is the minimum fraction of requests that must succeed after the
	// last fault. Requests with a revocable key and abandoned requests are not
	// counted.
	MinServed float64
	// EvacuateDelay is how long the endpoints of a data centre may still get requests after
	// the store has accepted its evacuation.
	EvacuateDelay time.Duration
	// In no second may a cold endpoint get more requests than it tolerates times
	// ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
}

// UserBounds returns the bounds of the users' deployments.
func UserBounds() Bounds {
	return Bounds{
		SettleTime: 3 * time.Second, DrainDelay: 2 * time.Second, RevocationDelay: 5 * time.Second, TimeoutSlack: 500 * time.Millisecond,
		LossWindow: 200 * time.Millisecond, CancelDelay: 500 * time.Millisecond, MaxExceptions: 3, MinServed: 0.9,
		EvacuateDelay: 5 * time.Second, ColdOverage: 1.5, ColdSlack: 5,
	}
}

// Check returns the violations of the guarantees. Bounds.MinServed applies to the
// requests sent after faultFreeSince.
func (j *Journal) Check(b Bounds, faultFreeSince time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	vs := append([]Violation(nil), j.violations...)
	var late, ranTooLong, abandoned, mustServe, served int
	for _, c := range j.sortedCalls() {
		vs = append(vs, c.checkContentAndRuns()...)
		vs = append(vs, j.checkRevocation(c, b)...)
		vs = append(vs, j.checkDrain(c, b)...)
		vs = append(vs, j.checkGracefulShutdown(c, b)...)
		vs = append(vs, j.checkUnanswered(c, b)...)
		vs = append(vs, j.checkRefusalOfAnswered(c, b)...)
		vs = append(vs, j.checkSilence(c, b)...)
		vs = append(vs, j.checkLate(c, b)...)
		if j.isLate(c, b) {
			late++
		}
		if !c.AbandonedAt.IsZero() && len(c.Runs) > 0 && j.isUndisturbed(c.Node, c.AbandonedAt.Add(b.CancelDelay), b.SettleTime) {
			abandoned++
			if c.ranAfterAbandon(b.CancelDelay) {
				ranTooLong++
			}
		}
		if c.SentAt.After(faultFreeSince) && c.mustBeServed() {
			mustServe++
			if c.Status == http.StatusOK && c.Complete {
				served++
			}
		}
	}
	vs = append(vs, j.checkCuts(b)...)
	vs = append(vs, j.checkEvacuations(b)...)
	vs = append(vs, j.checkColds(b)...)
	if late > b.MaxExceptions {
		vs = append(vs, Violation{"late", fmt.Sprintf("%d requests had not ended %v after their timeout", late, b.TimeoutSlack)})
	}
	if ranTooLong > b.MaxExceptions && ranTooLong*4 > abandoned {
		vs = append(vs, Violation{"gone", fmt.Sprintf("%d of %d requests ran for more than %v after their callers had closed the connection", ranTooLong, abandoned, b.CancelDelay)})
	}
	if float64(served) < b.MinServed*float64(mustServe) {
		vs = append(vs, Violation{"served", fmt.Sprintf("%d of %d requests served after the last fault", served, mustServe)})
	}
	return vs
}

// checkContentAndRuns checks the response's content. For a request of kind Once,
// it also checks that the request ran at most once, and not at all if it was
// answered with 429 or 503.
func (c *Call) checkContentAndRuns() []Violation {
	var vs []Violation
	if c.ContentError != "" {
		vs = append(vs, Violation{"mixed", fmt.Sprintf("request %s of kind %s at %s: %s", c.ID, c.Kind, c.Node, c.ContentError)})
	}
	if c.Kind != topol.Once {
		return vs
	}
	if len(c.Runs) > 1 {
		vs = append(vs, Violation{"twice", fmt.Sprintf("request %s ran %d times", c.ID, len(c.Runs))})
	}
	if c.isRefused() && len(c.Runs) > 0 {
		vs = append(vs, Violation{"refused", fmt.Sprintf("request %s was answered %d by %s and ran at %s", c.ID, c.Status, c.Node, c.Runs[0].Endpoint)})
	}
	return vs
}

// checkRevocation checks that a request sent more than RevocationDelay after its
// key was revoked has not run.
func (j *Journal) checkRevocation(c *Call, b Bounds) []Violation {
	at, ok := j.revokedAt[c.Key]
	if !ok || len(c.Runs) == 0 || !c.SentAt.After(at.Add(b.RevocationDelay)) {
		return nil
	}
	return []Violation{{"revoked", fmt.Sprintf("request %s ran at %s, but was sent to %s %v after its key was revoked", c.ID, c.Runs[0].Endpoint, c.Node, c.SentAt.Sub(at))}}
}

// checkDrain checks that a node sends no request to an endpoint more than
// DrainDelay after the endpoint's departure. It skips nodes that were disturbed
// shortly before the departure or the request.
func (j *Journal) checkDrain(c *Call, b Bounds) []Violation {
	var vs []Violation
	for _, r := range c.Runs {
		at, ok := j.departedAt[r.Endpoint]
		if !ok || !r.StartedAt.After(at.Add(b.DrainDelay)) || !j.isUndisturbed(c.Node, r.StartedAt, b.SettleTime) || !j.isUndisturbed(c.Node, at, b.SettleTime) {
			continue
		}
		vs = append(vs, Violation{"drain", fmt.Sprintf("request %s reached %s through %s %v after the endpoint's departure", c.ID, r.Endpoint, c.Node, r.StartedAt.Sub(at))})
	}
	return vs
}

// checkGracefulShutdown checks that a graceful shutdown cuts no request off.
// Requests near any other disturbance are not checked, nor are those whose last run was
// cut off by its endpoint.
func (j *Journal) checkGracefulShutdown(c *Call, b Bounds) []Violation {
	if n := len(c.Runs); n > 0 && c.Runs[n-1].Truncated {
		return nil
	}
	if c.Status != 0 && c.Complete || !c.AbandonedAt.IsZero() || c.EndedAt.IsZero() || c.EndedAt.Sub(c.SentAt) >= c.Timeout {
		return nil
	}
	if len(c.Runs) == 0 && c.EndedAt.Sub(c.SentAt) <= b.LossWindow {
		return nil
	}
	stopped := false
	for _, d := range j.disturbances {
		if d.Node != "" && d.Node != c.Node || !d.overlaps(c.SentAt.Add(-b.SettleTime), c.EndedAt) {
			continue
		}
		if !d.IsGracefulShutdown {
			return nil
		}
		stopped = true
	}
	if !stopped || c.Status != 0 && c.Status != http.StatusOK {
		return nil
	}
	return []Violation{{"lost", fmt.Sprintf("request %s was cut off by the graceful shutdown of %s, %v after it was sent; runs: %d", c.ID, c.Node, c.EndedAt.Sub(c.SentAt), len(c.Runs))}}
}

// isLate reports whether a request had not ended TimeoutSlack after its timeout,
// although its node was undisturbed from about SettleTime before the request until
// then.
func (j *Journal) isLate(c *Call, b Bounds) bool {
	limit := c.SentAt.Add(c.Timeout + b.TimeoutSlack)
	if !c.AbandonedAt.IsZero() || !c.EndedAt.IsZero() && c.EndedAt.Before(limit) {
		return false
	}
	return j.isUndisturbed(c.Node, limit, b.SettleTime+c.Timeout)
}

// ranAfterAbandon reports whether a run had not ended within the time d after the
// caller closed the connection.
func (c *Call) ranAfterAbandon(d time.Duration) bool {
	for _, r := range c.Runs {
		if r.EndedAt.IsZero() || r.EndedAt.After(c.AbandonedAt.Add(d)) {
			return true
		}
	}
	return false
}

// isUndisturbed reports whether no disturbance affected a node in the given period
// before a time.
func (j *Journal) isUndisturbed(n ident.NodeName, at time.Time, period time.Duration) bool {
	for _, d := range j.disturbances {
		if (d.Node == "" || d.Node == n) && d.overlaps(at.Add(-period), at) {
			return false
		}
	}
	return true
}

// overlaps reports whether the disturbance and the given period overlap.
func (d *Disturbance) overlaps(from, to time.Time) bool {
	return d.StartedAt.Before(to) && (d.EndedAt.IsZero() || d.EndedAt.After(from))
}
