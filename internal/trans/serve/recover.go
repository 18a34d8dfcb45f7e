package serve

import (
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// recover decides what follows a failed attempt. It returns nil if another
// one may begin.
func (a *Answer) recover(err error) *Failure {
	t := a.call
	apart := t != nil && t.suspect
	if t != nil && t.watch != nil && t.watch.stalled.Load() {
		a.excluded.Add(t.endpoint.Name)
	}
	a.drop(true)
	kind := classify(err, a.next > 0)
	if t != nil && (kind == retry.Lost || kind == retry.Truncated) {
		a.sent = true
	}
	if a.ctx.Err() != nil {
		return failEnded(a.ctx, a.outcome())
	}
	if a.spread && errors.Is(err, messg.ErrNoMemory) {
		return failBusy("no-memory", "engines lack memory for the prompt")
	}
	for _, e := range t.endpoints() {
		if f := a.blame(e, kind, err, apart); f != nil {
			return f
		}
	}
	in := retry.Input{Failure: kind, Idempotent: true, Attempts: a.attempts, Delivered: a.next > 0, Remaining: a.req.Remaining()}
	in.WithinBudget = a.core.Budget.TakeRetry()
	d := retry.Decide(in, a.core.jitter())
	if d.Action == retry.GiveUp || errors.Is(err, route.ErrNoEndpoint) {
		return failEndpoint(err, a.outcome(), a.attempts)
	}
	a.note(d.Action, err)
	if !delay.For(a.ctx, d.Delay) {
		return failEnded(a.ctx, a.outcome())
	}
	return nil
}

func (a *Answer) note(act retry.Action, err error) {
	a.core.Metrics.Retries.Inc()
	if act == retry.Resume {
		a.core.Metrics.Resumes.Inc()
		a.core.event(trace.Resumed, a.req, "resumes at token %d after: %v", a.next, err)
		return
	}
	a.core.event(trace.Retried, a.req, "tries again after: %v", err)
}

// blame finds out what a failure says of the endpoint. It returns a failure
// if the prompt crashed too many.
func (a *Answer) blame(e *table.Endpoint, kind retry.Failure, err error, apart bool) *Failure {
	if errors.Is(err, messg.ErrLeaving) {
		a.core.Health.Refused(e)
	}
	if kind == retry.Refused || errors.Is(err, messg.ErrStatus) {
		a.excluded.Add(e.Name)
		return nil
	}
	dead := a.core.Health.Check(a.ctx, e)
	if !dead {
		return nil
	}
	a.excluded.Add(e.Name)
	if kind == retry.NotSent {
		return nil
	}
	n := a.core.Strikes.Strike(a.digest, e.Name, apart)
	a.core.event(trace.Struck, a.req, "%s died with it in flight, strike %d, %d of them apart", e.Name, n.All, n.Apart)
	if n.Exceeds(a.req.Table.Document.Limits.MaxStrikes) {
		return failStruck(n, ident.Unknown)
	}
	return nil
}

// outcome is what to tell the caller when the prompt gets no whole answer.
func (a *Answer) outcome() ident.Outcome {
	if a.sent {
		return ident.Unknown
	}
	return ident.NotRun
}
