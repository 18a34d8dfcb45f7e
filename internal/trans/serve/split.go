package serve

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// memoryRetryPause is the shortest pause before memory is requested again. The
// actual pause is random, up to twice as long.
const memoryRetryPause = 100 * time.Millisecond

// startSplit reserves memory on several engines, prefills a part of the prompt on
// each, moves the parts to the primary engine and starts generating the answer
// there.
func (a *Answer) startSplit(id ident.RequestID) error {
	res, parts, err := a.reserveAll(string(id))
	if err != nil {
		return err
	}
	a.core.recordEvent(trace.Reserved, a.req, "memory on %d engines", len(parts))
	a.registerAttempt(&attempt{id: id, endpoint: res.engines[0], reservation: res})
	a.mayHaveRun = true
	if err := a.prefillAll(res, parts); err != nil {
		return err
	}
	s, err := a.core.Engine.Generate(a.ctx, res.engines[0].Config().Address, a.generateRequest(id, res.id))
	if err != nil {
		return err
	}
	a.attachStream(s)
	return nil
}

// reserveAll reserves memory for all parts. If the engines have too little free
// memory, it tries again for up to route.MaxMemoryWait.
func (a *Answer) reserveAll(id string) (*reservation, []route.Part, error) {
	end := time.Now().Add(route.MaxMemoryWait(a.req.Remaining()))
	for {
		res, parts, err := a.tryReserve(id)
		if err == nil || !errors.Is(err, messg.ErrNoMemory) || time.Now().After(end) {
			return res, parts, err
		}
		wait := memoryRetryPause + time.Duration(a.core.jitter()*float64(memoryRetryPause))
		if !delay.For(a.ctx, wait) {
			return nil, nil, a.ctx.Err()
		}
	}
}

// tryReserve reserves memory for all parts or for none. It calls the engines in
// the order of their names, which is the same at all nodes: otherwise two
// requests could each reserve some of the memory that both need, and both fail.
func (a *Answer) tryReserve(id string) (*reservation, []route.Part, error) {
	cs := a.core.candidatesFor(a.req, a.prompt, a.routeReq.Suspect, a.excluded)
	plan, err := route.SplitPrompt(cs.source().All(), a.routeReq, true)
	if err != nil {
		return nil, nil, errors.WithType(err, messg.ErrNoMemory)
	}
	var es []*table.Endpoint
	for _, p := range plan.Parts {
		es = append(es, cs.endpoints[p.Index])
	}
	res, err := a.core.Reservations.open(a.ctx, id, es, a.req.Deadline)
	if err != nil {
		return nil, nil, err
	}
	for i, e := range es {
		if err := a.core.Engine.Reserve(a.ctx, e.Config().Address, id, plan.Parts[i].Tokens); err != nil {
			res.end()
			return nil, nil, err
		}
		e.AddSent(plan.Parts[i].Tokens, 0, false)
	}
	return res, plan.Parts, nil
}

// prefillAll prefills all parts in parallel and moves those of the helpers to
// the primary engine.
func (a *Answer) prefillAll(res *reservation, parts []route.Part) error {
	g, ctx := errgroup.WithContext(a.ctx)
	for i, e := range res.engines {
		g.Go(func() error { return a.prefill(ctx, res, e, parts[i].Tokens, i > 0) })
	}
	return g.Wait()
}

// prefill prefills n tokens of the prompt at an engine and, if moveToPrimary is
// set, moves them to the primary engine.
func (a *Answer) prefill(ctx context.Context, res *reservation, e *table.Endpoint, n ident.Tokens, moveToPrimary bool) error {
	addr := e.Config().Address
	if err := a.core.Engine.Prefill(ctx, addr, res.id, n); err != nil {
		return errors.Annotatef(err, "prefill at %s", e.Name)
	}
	if !moveToPrimary {
		return nil
	}
	if err := a.core.Engine.Export(ctx, addr, res.id, n); err != nil {
		return errors.Annotatef(err, "export at %s", e.Name)
	}
	primary := res.engines[0].Config().Address
	return errors.Annotate(a.core.Engine.Import(ctx, primary, res.id, n), "import")
}
