package soak

import (
	"fmt"
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Violation is a broken guarantee. Rule names the guarantee.
type Violation struct {
	Rule, Text string
}

// timedRules are the rules that depend on bounds of time. On a busy machine, they
// can be broken without a fault of the nodes.
var timedRules = ident.SetOf("late", "gone", "drain", "served", "lost", "stop", "revoked")

// IsTimed reports whether the guarantee depends on a bound of time, so that it
// holds only on a machine that does little else.
func (v Violation) IsTimed() bool { return timedRules.Has(v.Rule) }

// Bounds are the limits of the guarantees that depend on time.
type Bounds struct {
	// SettleTime is how long a node must have been undisturbed for a bound to
	// apply to it.
	SettleTime time.Duration
	// DrainDelay is how long after its departure an endpoint may still get
	// requests, RevocationDelay how long after its revocation a key may still be
	// accepted.
	DrainDelay, RevocationDelay time.Duration
	// AnswerDelay is by how much a request may exceed its timeout.
	AnswerDelay time.Duration
	// LossWindow is how long after its last byte a request may be lost in a planned
	// stop, if no endpoint got it.
	LossWindow time.Duration
	// CancelDelay is how long a run may continue after its caller closed the
	// connection.
	CancelDelay time.Duration
	// MaxExceptions is the number of requests that may exceed AnswerDelay, and
	// of those that may exceed CancelDelay.
	MaxExceptions int
	// MinServed is the least share of requests that must succeed in the calm time
	// after the last fault.
	MinServed float64
}

// UserBounds are the bounds of the users' deployments.
func UserBounds() Bounds {
	return Bounds{
		SettleTime: 3 * time.Second, DrainDelay: 2 * time.Second, RevocationDelay: 5 * time.Second, AnswerDelay: 500 * time.Millisecond,
		LossWindow: 200 * time.Millisecond, CancelDelay: 500 * time.Millisecond, MaxExceptions: 3, MinServed: 0.9,
	}
}

// Check returns the broken guarantees. From calmSince on, no fault disturbed a node.
func (j *Journal) Check(b Bounds, calmSince time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	vs := append([]Violation(nil), j.violations...)
	var late, overran, abandoned, expected, served int
	for _, c := range j.sortedCalls() {
		vs = append(vs, c.checkExecutions()...)
		vs = append(vs, j.checkRevocation(c, b)...)
		vs = append(vs, j.checkDrain(c, b)...)
		vs = append(vs, j.checkPlannedStop(c, b)...)
		if j.isLate(c, b) {
			late++
		}
		if !c.AbandonedAt.IsZero() && len(c.Runs) > 0 && j.isUndisturbed(c.Node, c.AbandonedAt.Add(b.CancelDelay), b.SettleTime) {
			abandoned++
			if c.runsAfterAbandoned(b.CancelDelay) {
				overran++
			}
		}
		if c.SentAt.After(calmSince) && c.AbandonedAt.IsZero() && c.PermanentKey {
			expected++
			if c.Status == http.StatusOK && c.Complete {
				served++
			}
		}
	}
	if late > b.MaxExceptions {
		vs = append(vs, Violation{"late", fmt.Sprintf("%d requests had not ended %v after their timeout", late, b.AnswerDelay)})
	}
	if overran > b.MaxExceptions && overran*4 > abandoned {
		vs = append(vs, Violation{"gone", fmt.Sprintf("%d of %d requests ran for more than %v after their callers had closed the connection", overran, abandoned, b.CancelDelay)})
	}
	if float64(served) < b.MinServed*float64(expected) {
		vs = append(vs, Violation{"served", fmt.Sprintf("%d of %d requests served after the last fault", served, expected)})
	}
	return vs
}

// checkExecutions checks the answer's content, and for a request that may run at
// most once, that it did so and that it did not run if it was rejected.
func (c *Call) checkExecutions() []Violation {
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
	if (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) && len(c.Runs) > 0 {
		vs = append(vs, Violation{"refused", fmt.Sprintf("request %s was answered %d by %s and ran at %s", c.ID, c.Status, c.Node, c.Runs[0].Endpoint)})
	}
	return vs
}

// checkRevocation checks that no request runs that was sent too long after its
// key was revoked.
func (j *Journal) checkRevocation(c *Call, b Bounds) []Violation {
	at, ok := j.revokedAt[c.Key]
	if !ok || len(c.Runs) == 0 || !c.SentAt.After(at.Add(b.RevocationDelay)) {
		return nil
	}
	return []Violation{{"revoked", fmt.Sprintf("request %s ran at %s, but was sent to %s %v after its key was revoked", c.ID, c.Runs[0].Endpoint, c.Node, c.SentAt.Sub(at))}}
}

// checkDrain checks that no undisturbed node sends requests to an endpoint too
// long after its departure.
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

// checkPlannedStop checks that a planned stop cuts no request off. Requests near
// an unplanned disturbance are not checked.
func (j *Journal) checkPlannedStop(c *Call, b Bounds) []Violation {
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
		if !d.IsPlanned {
			return nil
		}
		stopped = true
	}
	if !stopped || c.Status != 0 && c.Status != http.StatusOK {
		return nil
	}
	return []Violation{{"lost", fmt.Sprintf("request %s was cut off by the planned stop of %s, %v after it was sent; runs: %d", c.ID, c.Node, c.EndedAt.Sub(c.SentAt), len(c.Runs))}}
}

// isLate reports whether a request had not ended in time at a node that was
// undisturbed all along.
func (j *Journal) isLate(c *Call, b Bounds) bool {
	limit := c.SentAt.Add(c.Timeout + b.AnswerDelay)
	if !c.AbandonedAt.IsZero() || !c.EndedAt.IsZero() && c.EndedAt.Before(limit) {
		return false
	}
	return j.isUndisturbed(c.Node, limit, b.SettleTime+c.Timeout)
}

// runsAfterAbandoned reports whether a run continued for longer than d after the
// caller closed the connection.
func (c *Call) runsAfterAbandoned(d time.Duration) bool {
	for _, r := range c.Runs {
		if r.EndedAt.IsZero() || r.EndedAt.After(c.AbandonedAt.Add(d)) {
			return true
		}
	}
	return false
}

// isUndisturbed reports whether no disturbance affected a node in the given
// period before a time.
func (j *Journal) isUndisturbed(n ident.NodeName, at time.Time, period time.Duration) bool {
	for _, d := range j.disturbances {
		if (d.Node == "" || d.Node == n) && d.overlaps(at.Add(-period), at) {
			return false
		}
	}
	return true
}

// overlaps reports whether the disturbance affects a part of the given period.
func (d *Disturbance) overlaps(from, to time.Time) bool {
	return d.StartedAt.Before(to) && (d.EndedAt.IsZero() || d.EndedAt.After(from))
}
