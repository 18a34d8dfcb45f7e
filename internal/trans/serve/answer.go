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

// Answer is the answer to a prompt, read token by token. It hides failed
// attempts from its reader as far as they can be retried or resumed.
type Answer struct {
	core     *Core
	ctx      context.Context
	req      *Request
	prompt   *chat.Prompt
	body     []byte
	routeReq route.Request
	digest   strik.Digest
	endTally func()
	// pending is the first token, which StartAnswer has read and Next has not
	// returned yet.
	pending *messg.Token

	current  *attempt
	attempts int
	// excluded holds the endpoints that get no further attempts.
	excluded ident.Set[ident.EndpointName]
	// chosen is the endpoint that admission was decided for; the first attempt
	// uses it.
	chosen *table.Endpoint
	// split is set if the prompt fits into no single engine and is prefilled
	// on several.
	split bool
	// trial is the trial that the prompt is sent as, or nil.
	trial *strik.Trial
	// mayHaveRun is set once an endpoint may have run the prompt.
	mayHaveRun bool
	// nextIndex is the index of the next token to read.
	nextIndex ident.Tokens
	lastToken messg.Token
	// endpointTime is the total duration of the attempts.
	endpointTime time.Duration
}

// StartAnswer decides on the admission of a prompt, sends it to an endpoint
// and waits for the first token. The error is a *Failure.
func (c *Core) StartAnswer(ctx context.Context, r *Request, p *chat.Prompt, body []byte) (*Answer, error) {
	a := &Answer{
		core: c, ctx: ctx, req: r, prompt: p, body: body,
		digest:   digestOf(r, p),
		excluded: ident.Set[ident.EndpointName]{},
	}
	if n := c.Strikes.Count(a.digest); n.Exceeds(r.Table.Document.Limits.MaxStrikes) {
		c.recordEvent(trace.Refused, r, "%d endpoints died with it in flight", n.All)
		return nil, tooManyStrikesFailure(n, ident.NotRun)
	}
	if f := a.checkParts(ident.NotRun); f != nil {
		c.recordEvent(trace.Refused, r, "%s: %s", f.Code, f.Message)
		return nil, f
	}
	if f := a.admit(); f != nil {
		a.endTrial()
		c.recordEvent(trace.Refused, r, "%s: %s", f.Code, f.Message)
		c.Ledger.Add(a.account(), r.Arrived, ledgr.Sum{Refusals: 1})
		return nil, f
	}
	a.endTally = c.Tally.Begin(r.Workspace, p.Tokens)
	c.Budget.AddFirstAttempt(r.Table.Document.Limits.RetryPercent)
	t, err := a.Next()
	if err != nil {
		a.Close()
		return nil, err
	}
	a.pending = &t
	c.Metrics.observeFirstToken(p.Tokens, time.Since(r.Arrived))
	c.recordEvent(trace.FirstToken, r, "first token after %s", time.Since(r.Arrived).Round(time.Millisecond))
	return a, nil
}

// checkParts returns a failure if the prompt has a part that crashes endpoints, unless it
// may be sent as a trial.
func (a *Answer) checkParts(outcome ident.Outcome) *Failure {
	barred, due := a.core.Strikes.CheckParts(a.prompt.SharedParts)
	if len(barred) == 0 || a.trial != nil {
		return nil
	}
	rank, _ := a.core.Rank()
	if a.trial = a.core.Strikes.StartTrial(barred, due, rank); a.trial != nil {
		return nil
	}
	return barredPartFailure(barred[0], max(busyRetryAfter, time.Until(due)), outcome)
}

// endTrial ends the trial that the prompt was sent as, if it was.
func (a *Answer) endTrial() {
	if a.trial != nil {
		a.core.Strikes.EndTrial(a.trial)
		a.trial = nil
	}
}

// digestOf returns a digest of a prompt and its workspace.
func digestOf(r *Request, p *chat.Prompt) strik.Digest {
	return strik.Digest(p.Digest ^ xxhash.Sum64String(string(r.Workspace)))
}

// admit chooses an endpoint and decides whether the prompt is admitted.
func (a *Answer) admit() *Failure {
	a.routeReq = routeRequest(a.req, a.prompt, a.suspected())
	cs := a.core.candidatesFor(a.req, a.prompt, a.routeReq.Suspect, nil)
	if !cs.anyReady() {
		return busyFailure("no-endpoint", "no endpoint of the model is up")
	}
	ch, f := a.chooseEndpoint(cs)
	if f != nil {
		return f
	}
	idleFirst := route.EstimateFirstTokenIdle(cs.candidate(ch.Index), a.routeReq)
	d := a.core.decideAdmission(a.req, a.prompt, ch, idleFirst)
	if !d.Admit {
		return notAdmittedFailure(d)
	}
	a.core.recordEvent(trace.Admitted, a.req, "%d prompt tokens, first token expected in %s, limit in %s", a.prompt.Tokens, ch.FirstToken.Round(time.Millisecond), a.req.Remaining().Round(time.Millisecond))
	return nil
}

// suspected reports whether the prompt is suspect, that is, whether an endpoint
// died with it in flight.
func (a *Answer) suspected() bool { return a.core.Strikes.Count(a.digest).All > 0 }

// chooseEndpoint chooses an endpoint and estimates the time to the first and the
// last token there. For a prompt that fits into no single engine it chooses
// several. It sets a.chosen or a.split.
func (a *Answer) chooseEndpoint(cs candidates) (route.Choice, *Failure) {
	ch, err := a.core.choose(cs, a.routeReq)
	if err != nil {
		return a.planSplit(cs, err)
	}
	a.chosen = cs.endpoints[ch.Index]
	return ch, nil
}

// planSplit plans the split of a prompt that fits into no single engine. It
// fails if an engine could take the whole prompt, but none can take it now, or
// if no set of engines has memory for it. cause is the error of choosing a
// single engine.
func (a *Answer) planSplit(cs candidates, cause error) (route.Choice, *Failure) {
	all := cs.source().All()
	if a.prompt.Tokens+a.prompt.MaxTokens <= route.LargestRequest(all, a.routeReq) {
		return route.Choice{}, busyFailure("no-endpoint", cause.Error())
	}
	a.split = true
	plan, err := route.SplitPrompt(all, a.routeReq, false)
	if err != nil {
		return route.Choice{}, tooLargeFailure(a.prompt.Tokens)
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
		t, err := a.readToken()
		if err == nil {
			a.nextIndex = t.Index + 1
			a.lastToken = t
			a.core.Metrics.Tokens.Inc()
			return t, nil
		}
		if f := a.handleFailure(err); f != nil {
			return messg.Token{}, f
		}
	}
}

// Ready reports whether the next token can be read without waiting.
func (a *Answer) Ready() bool {
	return a.pending == nil && a.current != nil && a.current.stream.Ready()
}

// readToken reads the next token of the current attempt, and starts an attempt
// if there is none.
func (a *Answer) readToken() (messg.Token, error) {
	if a.current == nil {
		if err := a.startAttempt(); err != nil {
			return messg.Token{}, err
		}
	}
	t, err := a.current.stream.Next()
	if err == nil {
		a.current.watch.recordReceived(t.Index + 1)
		a.current.tokens++
		if a.current.tokens == suspectTokens {
			a.current.clearSuspect()
		}
	}
	return t, err
}

// Close ends the answer and records its usage; a complete answer clears the
// strikes of its prompt. It must be called once.
func (a *Answer) Close() {
	complete := a.lastToken.Last
	a.endAttempt(!complete)
	if complete {
		a.core.Strikes.Clear(a.digest)
		a.core.Strikes.EndWell(a.prompt.SharedParts)
	}
	a.endTrial()
	a.endTally()
	s := ledgr.Sum{Requests: 1, GeneratedTokens: a.nextIndex, EndpointSeconds: a.endpointTime.Seconds()}
	if a.mayHaveRun {
		s.PromptTokens = a.prompt.Tokens
	}
	a.core.Ledger.Add(a.account(), a.req.Arrived, s)
}

func (a *Answer) account() ledgr.Account {
	return ledgr.Account{Workspace: a.req.Workspace, Route: a.req.Route.Name, Model: a.prompt.Model}
}

// Generated returns the number of tokens read so far, over all attempts.
func (a *Answer) Generated() ident.Tokens { return a.nextIndex }

// Cached returns how many of the prompt's tokens were cached. It is zero until
// the last token was read.
func (a *Answer) Cached() ident.Tokens { return a.lastToken.Cached }
