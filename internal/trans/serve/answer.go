package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/chat"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
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

// Begin admits a prompt and waits for the first token. The error is a
// *Failure.
func (c *Core) Begin(ctx context.Context, r *Request, p *chat.Prompt, body []byte) (*Answer, error) {
	a := &Answer{
		core: c, ctx: ctx, req: r, prompt: p, body: body,
		digest:   digestOf(r, p),
		excluded: ident.Set[ident.EndpointName]{},
	}
	if n := c.Strikes.Count(a.digest); n.Exceeds(r.Table.Document.Limits.MaxStrikes) {
		c.event(trace.Refused, r, "%d endpoints died with it in flight", n.All)
		return nil, failStruck(n, ident.NotRun)
	}
	if f := a.admit(); f != nil {
		c.event(trace.Refused, r, "%s: %s", f.Code, f.Message)
		c.Ledger.Add(a.account(), r.Arrived, ledgr.Sum{Refusals: 1})
		return nil, f
	}
	a.endUse = c.Tally.Begin(r.Workspace, p.Tokens)
	c.Budget.AddFirstAttempt(r.Table.Document.Limits.RetryPercent)
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
	return strik.Digest(p.Digest ^ xxhash.Sum64String(string(r.Workspace)))
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
	alone := route.EstimateFirstTokenIdle(cs.at(ch.Index), a.query)
	d := a.core.admit(a.req, a.prompt, ch, alone)
	if !d.Admit {
		return failRefused(d)
	}
	a.core.event(trace.Admitted, a.req, "%d prompt tokens, first token expected in %s, limit in %s", a.prompt.Tokens, ch.FirstToken.Round(time.Millisecond), a.req.Remaining().Round(time.Millisecond))
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
	if a.prompt.Tokens+a.prompt.MaxTokens <= route.LargestRequest(all, a.query) {
		return route.Choice{}, failBusy("no-endpoint", cause.Error())
	}
	a.spread = true
	plan, err := route.SplitPrompt(all, a.query, false)
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

// Close ends the answer and books it. It must be called once.
func (a *Answer) Close() {
	whole := a.last.Last
	a.drop(!whole)
	if whole {
		a.core.Strikes.Clear(a.digest)
	}
	a.endUse()
	s := ledgr.Sum{Requests: 1, GeneratedTokens: a.next, EndpointSeconds: a.busy.Seconds()}
	if a.sent {
		s.PromptTokens = a.prompt.Tokens
	}
	a.core.Ledger.Add(a.account(), a.req.Arrived, s)
}

func (a *Answer) account() ledgr.Account {
	return ledgr.Account{Workspace: a.req.Workspace, Route: a.req.Route.Name, Model: a.prompt.Model}
}

// Generated returns the number of tokens read so far.
func (a *Answer) Generated() ident.Tokens { return a.next }

// Cached returns the cached part of the prompt, known after the last token.
func (a *Answer) Cached() ident.Tokens { return a.last.Cached }
