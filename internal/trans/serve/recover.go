package serve

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// handleFailure decides how to continue after a failed attempt. It returns nil
// if another attempt may start.
func (a *Answer) handleFailure(err error) *Failure {
	t := a.current
	onlySuspect := t != nil && t.suspect
	if t != nil && t.watch != nil && t.watch.stalled.Load() {
		a.excluded.Add(t.endpoint.Name)
	}
	a.endAttempt(true)
	kind := failureKind(err, a.nextIndex > 0)
	if t != nil && (kind == retry.Lost || kind == retry.Truncated) {
		a.mayHaveRun = true
	}
	if a.ctx.Err() != nil {
		return contextFailure(a.ctx, a.outcome())
	}
	if a.split && errors.Is(err, messg.ErrNoMemory) {
		return busyFailure("no-memory", "engines lack memory for the prompt")
	}
	for _, e := range t.endpoints() {
		if f := a.attributeFailure(t, e, kind, err, onlySuspect); f != nil {
			return f
		}
	}
	if errors.Is(err, route.ErrNoEndpoint) {
		return endpointFailure(err, a.outcome(), a.attempts)
	}
	in := retry.Input{Failure: kind, Idempotent: true, Attempts: a.attempts, Delivered: a.nextIndex > 0, TimeLeft: a.req.Remaining()}
	in.TakeRetry = a.core.Budget.TakeRetry
	d := retry.Decide(in, a.core.jitter())
	if d.Action == retry.GiveUp {
		return endpointFailure(err, a.outcome(), a.attempts)
	}
	a.recordRetry(d.Action, err)
	if !delay.For(a.ctx, d.Delay) {
		return contextFailure(a.ctx, a.outcome())
	}
	return nil
}

func (a *Answer) recordRetry(action retry.Action, err error) {
	a.core.Metrics.Retries.Inc()
	if action == retry.Resume {
		a.core.Metrics.Resumes.Inc()
		a.core.recordEvent(trace.Resumed, a.req, "resumes at token %d after: %v", a.nextIndex, err)
		return
	}
	a.core.recordEvent(trace.Retried, a.req, "tries again after: %v", err)
}

// attributeFailure updates the health of an endpoint after a failed attempt and,
// if the endpoint refused the request, answered with an error status or is down,
// excludes it from further attempts. If the endpoint died with the prompt in
// flight, the prompt gets a strike; onlySuspect is set if it was the only suspect
// there. attributeFailure returns a failure if the prompt or one of its parts has too
// many strikes.
func (a *Answer) attributeFailure(t *attempt, e *table.Endpoint, kind retry.Failure, err error, onlySuspect bool) *Failure {
	if errors.Is(err, messg.ErrLeaving) {
		a.core.Health.RecordRefusal(e)
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
	now := time.Now()
	n := a.core.Strikes.Add(strik.Strike{
		Digest: a.digest, Endpoint: e.Name, At: now, Apart: onlySuspect,
		Parts: a.prompt.SharedParts, Took: now.Sub(t.started), Trial: a.trial != nil,
	})
	a.endTrial()
	a.core.recordEvent(trace.Struck, a.req, "%s died with it in flight, strike %d, %d of them apart", e.Name, n.All, n.Apart)
	if n.Exceeds(a.req.Table.Document.Limits.MaxStrikes) {
		return tooManyStrikesFailure(n, ident.Unknown)
	}
	return a.checkParts(ident.Unknown)
}

// outcome returns the outcome to report to the caller if the prompt gets no
// complete answer.
func (a *Answer) outcome() ident.Outcome { return outcomeOf(a.mayHaveRun) }
