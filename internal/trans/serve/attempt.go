package serve

import (
	"context"
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Priorities at an engine; lower goes first.
const (
	shortPriority = 0
	longPriority  = 1
)

const (
	// probation is the number of tokens after which a suspect counts as
	// harmless for those beside it.
	probation     = 16
	suspectPause  = 20 * time.Millisecond
	cancelTries   = 3
	cancelTimeout = time.Second
)

// attempt is one try at one endpoint.
type attempt struct {
	id       ident.RequestID
	endpoint *table.Endpoint
	stream   messg.Stream
	began    time.Time
	watch    *watchdog
	hold     *hold
	// suspect tells that the attempt counts as a suspect at its endpoint.
	suspect bool
	tokens  int
}

// endpoints are those that the attempt runs on.
func (t *attempt) endpoints() []*table.Endpoint {
	switch {
	case t == nil:
		return nil
	case t.hold != nil:
		return t.hold.engines
	default:
		return []*table.Endpoint{t.endpoint}
	}
}

// clear ends the attempt's time as a suspect.
func (t *attempt) clear() {
	if t.suspect {
		t.suspect = false
		t.endpoint.Suspects.Add(-1)
	}
}

// open begins an attempt.
func (a *Answer) open() error {
	a.attempts++
	id := ident.RequestID(fmt.Sprintf("%s-%d", a.req.ID, a.attempts))
	if a.spread {
		return a.openSpread(id)
	}
	e, err := a.endpoint()
	if err != nil {
		return err
	}
	a.begin(&attempt{id: id, endpoint: e})
	s, err := a.core.Engine.Generate(a.ctx, e.Config().Address, a.generate(id, ""))
	if err != nil {
		return err
	}
	a.started(s)
	a.core.hint(a.prompt, e.Name)
	return nil
}

// endpoint returns the one chosen at admission, or chooses another.
func (a *Answer) endpoint() (*table.Endpoint, error) {
	if e := a.chosen; e != nil {
		a.chosen = nil
		return e, nil
	}
	a.query.Suspect = a.suspected()
	for {
		cs := a.core.candidatesFor(a.req, a.prompt, a.query.Suspect, a.excluded)
		ch, err := a.core.choose(cs, a.query)
		if err == nil {
			return cs.endpoints[ch.Index], nil
		}
		if !a.query.Suspect || !cs.up() {
			return nil, err
		}
		// Other suspects run; they end or crash soon.
		if !delay.For(a.ctx, suspectPause) {
			return nil, a.ctx.Err()
		}
	}
}

// begin counts an attempt at its endpoint.
func (a *Answer) begin(t *attempt) {
	t.began = time.Now()
	a.call = t
	e := t.endpoint
	e.Calls.Add(1)
	if a.query.Suspect {
		t.suspect = true
		e.Suspects.Add(1)
	}
	e.AddSent(a.prompt.Tokens, a.prompt.MaxTokens, a.query.Short)
	a.core.event(trace.Chosen, a.req, "attempt %d at %s", a.attempts, e.Name)
}

// started notes that an endpoint took the attempt.
func (a *Answer) started(s messg.Stream) {
	a.sent = true
	a.call.stream = s
	a.call.watch = a.watchOver(a.call)
}

func (a *Answer) generate(id ident.RequestID, reservation string) messg.Generate {
	g := messg.Generate{Request: id, Body: a.body, Priority: longPriority, ResumeAt: a.next, MaxTokens: a.prompt.MaxTokens, Reservation: reservation}
	if a.query.Short {
		g.Priority = shortPriority
	}
	return g
}

// drop ends the attempt under way, and cancels it at the endpoint if it has
// not ended by itself.
func (a *Answer) drop(cancel bool) {
	t := a.call
	if t == nil {
		return
	}
	a.call = nil
	a.busy += time.Since(t.began)
	t.endpoint.Calls.Add(-1)
	t.clear()
	if t.watch != nil {
		t.watch.stop()
	}
	if t.stream != nil {
		t.stream.Close()
	}
	if cancel && t.stream != nil {
		a.core.later(func() { a.core.cancel(t) })
	}
	if t.hold != nil {
		a.core.later(t.hold.end)
	}
}

// cancel frees what an attempt holds at its engine.
func (c *Core) cancel(t *attempt) {
	for range cancelTries {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		err := c.Engine.Cancel(ctx, t.endpoint.Config().Address, t.id)
		stop()
		if err == nil || t.endpoint.State() == table.Down {
			return
		}
		time.Sleep(cancelTimeout / 10)
	}
}
