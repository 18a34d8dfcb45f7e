package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// NotRunHeader is set by a service on the response to a request that it refused
// without running it.
const NotRunHeader = "Not-Run"

// PlainResponse is the response of a plain HTTP service.
type PlainResponse struct {
	Status int
	Header fasthttp.ResponseHeader
	Body   []byte
}

// DoIdempotent forwards an idempotent request to a service. The error is a
// *Failure.
func (c *Core) DoIdempotent(ctx context.Context, r *Request, q *fasthttp.Request) (*PlainResponse, error) {
	if f := c.admitPlain(r); f != nil {
		return nil, f
	}
	defer c.Tally.Begin(r.Workspace, 0)()
	t := &plainRequest{core: c, ctx: ctx, req: r, outgoing: q, idempotent: true, excluded: ident.Set[ident.EndpointName]{}}
	return t.run()
}

// admitPlain applies the limit on the requests of the workspace.
func (c *Core) admitPlain(r *Request) *Failure {
	w := r.Table.Document.Workspaces[r.Workspace]
	d := admit.Decide(admit.Input{
		TimeLeft:          r.Remaining(),
		WorkspaceInFlight: admit.InFlight(c.Tally.TotalOf(r.Workspace)),
		MaxRequests:       int64(w.MaxRequests),
		MaxTokens:         w.MaxTokens,
	})
	if d.Admit {
		return nil
	}
	c.recordEvent(trace.Refused, r, "%s: %s", d.Code, d.Reason)
	c.Ledger.Add(plainAccount(r), r.Arrived, ledgr.Sum{Refusals: 1})
	return notAdmittedFailure(d)
}

func plainAccount(r *Request) ledgr.Account {
	return ledgr.Account{Workspace: r.Workspace, Route: r.Route.Name}
}

// plainRequest is a request in progress to a plain HTTP service.
type plainRequest struct {
	core       *Core
	ctx        context.Context
	req        *Request
	outgoing   *fasthttp.Request
	idempotent bool
	attempts   int
	excluded   ident.Set[ident.EndpointName]
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// endpointTime is the total duration of the attempts.
	endpointTime time.Duration
}

// run tries endpoints until one answers or no further attempt is allowed.
func (t *plainRequest) run() (*PlainResponse, error) {
	defer t.recordUsage()
	t.core.Budget.AddFirstAttempt(t.req.Table.Document.Limits.RetryPercent)
	for {
		e, err := t.pick()
		if err != nil {
			return nil, endpointFailure(err, t.outcome(), t.attempts)
		}
		t.attempts++
		t.core.recordEvent(trace.Chosen, t.req, "attempt %d at %s", t.attempts, e.Name)
		p, err := t.try(e)
		if err == nil {
			return p, nil
		}
		if f := t.handleFailure(e, err); f != nil {
			return nil, f
		}
	}
}

// pick returns the one of two random endpoints that has fewer requests in flight
// from this node.
func (t *plainRequest) pick() (*table.Endpoint, error) {
	var es []*table.Endpoint
	for _, e := range t.req.Route.Targets {
		if e.State() == table.Up && !t.excluded.Has(e.Name) {
			es = append(es, e)
		}
	}
	if len(es) == 0 {
		return nil, route.ErrNoEndpoint
	}
	var e *table.Endpoint
	t.core.withRandom(func(r *rand.Rand) {
		a, b := es[r.IntN(len(es))], es[r.IntN(len(es))]
		e = a
		if b.Calls.Load() < a.Calls.Load() {
			e = b
		}
	})
	return e, nil
}

// try makes one attempt. A request that isn't idempotent always uses a new
// connection, so that a failure to connect proves that nothing was sent. Retries
// use a new connection too.
func (t *plainRequest) try(e *table.Endpoint) (*PlainResponse, error) {
	e.Calls.Add(1)
	defer e.Calls.Add(-1)
	began := time.Now()
	defer func() { t.endpointTime += time.Since(began) }()
	call := conns.Call{Request: t.outgoing, Identified: true, Fresh: !t.idempotent || t.attempts > 1}
	if t.idempotent {
		// Half of the time left remains for a retry.
		call.HeaderTimeout = max(time.Millisecond, t.req.Remaining()/2)
	}
	r, err := t.core.Pools.Get(e.Config().Address).Do(t.ctx, call)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	body, err := r.ReadAll(int64(t.req.Table.Document.Limits.BodyBytes))
	if err != nil {
		return nil, err
	}
	if r.Status == fasthttp.StatusServiceUnavailable && len(r.Header.Peek(NotRunHeader)) > 0 {
		return nil, errors.WithType(errors.New("service refused the request"), messg.ErrRefused)
	}
	p := &PlainResponse{Status: r.Status, Body: body}
	r.Header.CopyTo(&p.Header)
	return p, nil
}

// handleFailure decides how to continue after a failed attempt. It returns nil
// if another attempt may start.
func (t *plainRequest) handleFailure(e *table.Endpoint, err error) *Failure {
	kind := failureKind(err, false)
	if kind == retry.Lost {
		t.mayHaveRun = true
	}
	if t.ctx.Err() != nil {
		return contextFailure(t.ctx, t.outcome())
	}
	if errors.Is(err, conns.ErrTooLong) {
		return endpointFailure(err, t.outcome(), t.attempts)
	}
	t.excluded.Add(e.Name)
	if kind == retry.NotSent {
		t.core.Health.Check(t.ctx, e)
	}
	d := retry.Decide(retry.Input{
		Failure: kind, Idempotent: t.idempotent, Attempts: t.attempts,
		TimeLeft: t.req.Remaining(), TakeRetry: t.core.Budget.TakeRetry,
	}, t.core.jitter())
	if d.Action == retry.GiveUp {
		return endpointFailure(err, t.outcome(), t.attempts)
	}
	t.core.Metrics.Retries.Inc()
	t.core.recordEvent(trace.Retried, t.req, "tries again after: %v", err)
	if !delay.For(t.ctx, d.Delay) {
		return contextFailure(t.ctx, t.outcome())
	}
	return nil
}

func (t *plainRequest) outcome() ident.Outcome { return outcomeOf(t.mayHaveRun) }

func (t *plainRequest) recordUsage() {
	t.core.Ledger.Add(plainAccount(t.req), t.req.Arrived, ledgr.Sum{Requests: 1, EndpointSeconds: t.endpointTime.Seconds()})
}
