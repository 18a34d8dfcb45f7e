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

const memoryPause = 100 * time.Millisecond

// openSpread reserves memory on several engines, computes a part of the
// prompt on each, gathers the parts and begins the answer on one of them.
func (a *Answer) openSpread(id ident.RequestID) error {
	o, parts, err := a.reserveAll(string(id))
	if err != nil {
		return err
	}
	a.core.event(trace.Reserved, a.req, "memory on %d engines", len(parts))
	a.begin(&attempt{id: id, endpoint: o.engines[0], hold: o})
	a.sent = true
	if err := a.prefillAll(o, parts); err != nil {
		return err
	}
	s, err := a.core.Engine.Generate(a.ctx, o.engines[0].Config().Address, a.generate(id, o.owner))
	if err != nil {
		return err
	}
	a.started(s)
	return nil
}

// reserveAll waits until there is memory for all parts and reserves it.
func (a *Answer) reserveAll(owner string) (*hold, []route.Part, error) {
	end := time.Now().Add(route.MaxMemoryWait(a.req.Remaining()))
	for {
		o, parts, err := a.reserveOnce(owner)
		if err == nil || !errors.Is(err, messg.ErrNoMemory) || time.Now().After(end) {
			return o, parts, err
		}
		wait := memoryPause + time.Duration(a.core.jitter()*float64(memoryPause))
		if !delay.For(a.ctx, wait) {
			return nil, nil, a.ctx.Err()
		}
	}
}

// reserveOnce reserves all parts in the global order, or none.
func (a *Answer) reserveOnce(owner string) (*hold, []route.Part, error) {
	cs := a.core.candidatesFor(a.req, a.prompt, a.query.Suspect, a.excluded)
	plan, err := route.SplitPrompt(cs.source().All(), a.query, true)
	if err != nil {
		return nil, nil, errors.WithType(err, messg.ErrNoMemory)
	}
	var es []*table.Endpoint
	for _, p := range plan.Parts {
		es = append(es, cs.endpoints[p.Index])
	}
	o, err := a.core.Holds.open(a.ctx, owner, es, a.req.Deadline)
	if err != nil {
		return nil, nil, err
	}
	for i, e := range es {
		if err := a.core.Engine.Reserve(a.ctx, e.Config().Address, owner, plan.Parts[i].Tokens); err != nil {
			o.end()
			return nil, nil, err
		}
		e.Sent(plan.Parts[i].Tokens, 0, false)
	}
	return o, plan.Parts, nil
}

// prefillAll computes the parts at the same time and moves them to the first
// engine.
func (a *Answer) prefillAll(o *hold, parts []route.Part) error {
	g, ctx := errgroup.WithContext(a.ctx)
	for i, e := range o.engines {
		g.Go(func() error { return a.prefill(ctx, o, e, parts[i].Tokens, i > 0) })
	}
	return g.Wait()
}

func (a *Answer) prefill(ctx context.Context, o *hold, e *table.Endpoint, n ident.Tokens, move bool) error {
	addr := e.Config().Address
	if err := a.core.Engine.Prefill(ctx, addr, o.owner, n); err != nil {
		return errors.Annotatef(err, "prefill at %s", e.Name)
	}
	if !move {
		return nil
	}
	if err := a.core.Engine.Export(ctx, addr, o.owner, n); err != nil {
		return errors.Annotatef(err, "export at %s", e.Name)
	}
	first := o.engines[0].Config().Address
	return errors.Annotate(a.core.Engine.Import(ctx, first, o.owner, n), "import")
}
