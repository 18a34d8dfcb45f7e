package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/chat"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/ledgr"
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

// Answer is the answer to one prompt under way. Failed attempts are hidden
// from its reader as far as retries and resumption allow.
type Answer struct {
	core    *Core
	ctx     context.Context
	req     *Request
	prompt  *chat.Prompt
	body    []byte
	query   route.Request
	digest  strik.Digest
	endUse  func()
	pending *messg.Token

	call     *attempt
	attempts int
	excluded ident.Set[ident.EndpointName]
	// chosen is the endpoint that admission was based on.
	chosen *table.Endpoint
	// spread tells that the prompt needs the memory of several engines.
	spread bool
	// sent tells that an endpoint may have run the prompt.
	sent bool
	next ident.Tokens
	last messg.Token
	busy time.Duration
}

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

// Begin admits a prompt and waits for the first token. The error is a
// *Failure.
func (c *Core) Begin(ctx context.Context, r *Request, p *chat.Prompt, body []byte) (*Answer, error) {
	a := &Answer{
		core: c, ctx: ctx, req: r, prompt: p, body: body,
		digest:   digestOf(r, p),
		excluded: ident.Set[ident.EndpointName]{},
	}
	if n := c.Strikes.Count(a.digest); n.Convicts(r.Table.Document.Limits.MaxStrikes) {
		c.event(trace.Refused, r, "%d endpoints died with it in flight", n.All)
		return nil, failStruck(n, ident.NotRun)
	}
	if f := a.admit(); f != nil {
		c.event(trace.Refused, r, "%s: %s", f.Code, f.Message)
		c.Ledger.Add(a.account(), r.Arrived, ledgr.Sum{Refusals: 1})
		return nil, f
	}
	a.endUse = c.Tally.Begin(r.Workspace, p.Tokens)
	c.Budget.First(r.Table.Document.Limits.RetryPercent)
	t, err := a.Next()
	if err != nil {
		a.Close()
		return nil, err
	}
	a.pending = &t
	c.Metrics.firstToken(p.Tokens, time.Since(r.Arrived))
	c.event(trace.FirstToken, r, "first token after %s", time.Since(r.Arrived).Round(time.Millisecond))
	return a, nil
}

// digestOf identifies a prompt within its workspace.
func digestOf(r *Request, p *chat.Prompt) strik.Digest {
	d := p.Digest
	for _, b := range []byte(r.Workspace) {
		d = (d ^ uint64(b)) * 0x100000001b3
	}
	return strik.Digest(d)
}

// admit chooses an endpoint and decides whether the prompt is taken.
func (a *Answer) admit() *Failure {
	a.query = routeRequest(a.req, a.prompt, a.suspected())
	cs := a.core.candidatesFor(a.req, a.prompt, a.query.Suspect, nil)
	if !cs.up() {
		return failBusy("no-endpoint", "no endpoint of the model is up")
	}
	ch, f := a.estimate(cs)
	if f != nil {
		return f
	}
	alone := route.Alone(cs.at(ch.Index), a.query)
	d := a.core.admit(a.req, a.prompt, ch, alone)
	if !d.Admit {
		return failRefused(d)
	}
	a.core.event(trace.Admitted, a.req, "%d prompt tokens, first token expected in %s, limit in %s", a.prompt.Tokens, ch.First.Round(time.Millisecond), a.req.Remaining().Round(time.Millisecond))
	return nil
}

// suspected reports whether an endpoint died with the prompt in flight.
func (a *Answer) suspected() bool { return a.core.Strikes.Count(a.digest).All > 0 }

// estimate chooses an endpoint, or several for a prompt that is larger than
// each of them.
func (a *Answer) estimate(cs candidates) (route.Choice, *Failure) {
	ch, err := a.core.choose(cs, a.query)
	if err != nil {
		return a.estimateSpread(cs, err)
	}
	a.chosen = cs.endpoints[ch.Index]
	return ch, nil
}

// estimateSpread plans a prompt that fits into no single engine.
func (a *Answer) estimateSpread(cs candidates, cause error) (route.Choice, *Failure) {
	all := cs.source().All()
	if a.prompt.Tokens+a.prompt.MaxTokens <= route.Largest(all, a.query) {
		return route.Choice{}, failBusy("no-endpoint", cause.Error())
	}
	a.spread = true
	plan, err := route.Spread(all, a.query, false)
	if err != nil {
		return route.Choice{}, failTooLarge(a.prompt.Tokens)
	}
	return plan.Choice, nil
}

// Next waits for the next token. The error is a *Failure.
func (a *Answer) Next() (messg.Token, error) {
	if a.pending != nil {
		t := *a.pending
		a.pending = nil
		return t, nil
	}
	for {
		t, err := a.try()
		if err == nil {
			a.next = t.Index + 1
			a.last = t
			a.core.Metrics.Tokens.Inc()
			return t, nil
		}
		if f := a.recover(err); f != nil {
			return messg.Token{}, f
		}
	}
}

// Ready reports whether the next token can be read without waiting.
func (a *Answer) Ready() bool {
	return a.pending == nil && a.call != nil && a.call.stream.Ready()
}

// try reads from the attempt under way, or begins one.
func (a *Answer) try() (messg.Token, error) {
	if a.call == nil {
		if err := a.open(); err != nil {
			return messg.Token{}, err
		}
	}
	t, err := a.call.stream.Next()
	if err == nil {
		a.call.watch.progress(t.Index + 1)
		a.call.tokens++
		if a.call.tokens == probation {
			a.call.clear()
		}
	}
	return t, err
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
		if !pause(a.ctx, suspectPause) {
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
	e.Sent(a.prompt.Tokens, a.prompt.MaxTokens, a.query.Short)
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
	if t != nil && (kind == retry.Lost || kind == retry.Cut) {
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
	in.Budget = a.core.Budget.Take()
	d := retry.Decide(in, a.core.jitter())
	if d.Action == retry.GiveUp || errors.Is(err, route.ErrNoEndpoint) {
		return failEndpoint(err, a.outcome(), a.attempts)
	}
	a.note(d.Action, err)
	if !pause(a.ctx, d.Delay) {
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
	if kind == retry.Refused {
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
	if n.Convicts(a.req.Table.Document.Limits.MaxStrikes) {
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

// Close ends the answer and books it. It must be called once.
func (a *Answer) Close() {
	whole := a.last.Last
	a.drop(!whole)
	if whole {
		a.core.Strikes.Clear(a.digest)
	}
	a.endUse()
	a.core.Ledger.Add(a.account(), a.req.Arrived, ledgr.Sum{
		Requests:        1,
		PromptTokens:    a.prompt.Tokens,
		GeneratedTokens: a.next,
		EndpointSeconds: a.busy.Seconds(),
	})
}

func (a *Answer) account() ledgr.Account {
	return ledgr.Account{Workspace: a.req.Workspace, Route: a.req.Route.Name, Model: a.prompt.Model}
}

// Generated returns the number of tokens read so far.
func (a *Answer) Generated() ident.Tokens { return a.next }

// Cached returns the cached part of the prompt, known after the last token.
func (a *Answer) Cached() ident.Tokens { return a.last.Cached }
