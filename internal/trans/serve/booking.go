package serve

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxClaimWait bounds the wait for the result of a claim.
	maxClaimWait = 2 * time.Second
	// maxStoredBody is the size in bytes above which the body of a response is
	// not stored for repeats of its request.
	maxStoredBody = 4 << 10
	// ReplayHeader is set on a response that replays a stored answer.
	ReplayHeader = "Idempotent-Replay"
)

// errReleased means that a key was released, or that its entry has been removed
// since, and that the request may claim it again.
const errReleased = errors.ConstError("key was released")

// KeyedRequest is a request with an idempotency key, which runs at most once.
type KeyedRequest struct {
	Key string
	// Digest is a digest of the request. A repeat with another digest is
	// rejected.
	Digest uint64
	// Outgoing is the request to send to an endpoint.
	Outgoing *fasthttp.Request
}

// DoOnce runs a request at most once under its idempotency key. A repeated
// request gets the answer to the first. The error is a *Failure.
func (c *Core) DoOnce(ctx context.Context, r *Request, kr KeyedRequest) (*PlainResponse, error) {
	if f := c.admitPlain(r); f != nil {
		return nil, f
	}
	defer c.Tally.Begin(r.Workspace, 0)()
	key := claim.Key{Workspace: r.Workspace, Name: kr.Key}
	for {
		p, err := c.runOrRepeat(ctx, r, kr, key)
		if !errors.Is(err, errReleased) {
			return p, err
		}
	}
}

// runOrRepeat claims a key and runs its request, or answers from the key's
// entry if it was claimed before. It returns errReleased if the key became free
// in the meantime, so that the caller claims it again.
func (c *Core) runOrRepeat(ctx context.Context, r *Request, kr KeyedRequest, key claim.Key) (*PlainResponse, error) {
	if e, ok := c.Claims.Lookup(key); ok && (e.State != claim.Released || e.Expired(time.Now())) {
		return c.answerRepeat(ctx, r, kr, key)
	}
	if c.Claims.LogDown() {
		return nil, busyFailure("log-down", "bookings wait for the platform's log")
	}
	result, err := c.claim(ctx, r, kr, key)
	if err != nil {
		return nil, c.claimFailure(ctx, r)
	}
	if !result.Won {
		return c.answerRepeat(ctx, r, kr, key)
	}
	c.recordEvent(trace.Claimed, r, "holds key %s", kr.Key)
	return c.runClaimed(ctx, r, kr, key, result)
}

func (c *Core) claim(ctx context.Context, r *Request, kr KeyedRequest, key claim.Key) (claim.Result, error) {
	// At least half of the time left remains for running the request.
	ctx, cancel := context.WithTimeout(ctx, min(maxClaimWait, r.Remaining()/2))
	defer cancel()
	// The log must retain claims for longer than twice their age, see
	// claim.Item.
	age := min(r.Table.Document.Limits.KeyAge.Std(), c.LogRetention/3)
	return c.Claims.Claim(ctx, claim.Item{Key: key, Request: r.ID, Digest: kr.Digest, Age: age})
}

func (c *Core) claimFailure(ctx context.Context, r *Request) *Failure {
	c.recordEvent(trace.Refused, r, "log did not settle the claim")
	if ctx.Err() != nil {
		return contextFailure(ctx, ident.NotRun)
	}
	return busyFailure("log-down", "the platform's log did not settle the claim in time")
}

// runClaimed sends a request whose key was claimed with the given result, and
// records how the attempt ended.
func (c *Core) runClaimed(ctx context.Context, r *Request, kr KeyedRequest, key claim.Key, result claim.Result) (*PlainResponse, error) {
	t := &plainRequest{core: c, ctx: ctx, req: r, outgoing: kr.Outgoing, excluded: ident.Set[ident.EndpointName]{}}
	if ctx.Err() != nil {
		c.Claims.Settle(claim.Release, result, key, nil)
		return nil, contextFailure(ctx, ident.NotRun)
	}
	p, err := t.run()
	switch {
	case err == nil:
		c.Claims.Settle(claim.Done, result, key, storedAnswer(p))
	case t.mayHaveRun:
		c.Claims.Settle(claim.Lost, result, key, nil)
	default:
		c.Claims.Settle(claim.Release, result, key, nil)
	}
	return p, err
}

func storedAnswer(p *PlainResponse) *claim.Answer {
	a := &claim.Answer{Status: p.Status, ContentType: string(p.Header.ContentType()), Body: p.Body}
	if len(p.Body) > maxStoredBody {
		a.Body = nil
		a.Omitted = true
	}
	return a
}

// answerRepeat answers a request whose key was claimed before. It waits while
// the attempt that holds the key may still be running.
func (c *Core) answerRepeat(ctx context.Context, r *Request, kr KeyedRequest, key claim.Key) (*PlainResponse, error) {
	for {
		changed := c.Claims.Changed()
		e, ok := c.Claims.Lookup(key)
		if !ok {
			return nil, errReleased
		}
		if e.Digest != kr.Digest {
			return nil, &Failure{fasthttp.StatusUnprocessableEntity, "key-reused", "the idempotency key was used with another request", ident.NotRun, 0}
		}
		if p, err, settled := c.answerSettled(r, e); settled {
			return p, err
		}
		if !c.holderAlive(e) {
			return nil, repeatFailure("unknown-outcome", "the node that held the key is gone", ident.Unknown)
		}
		if !waitForChange(ctx, changed) {
			return nil, contextFailure(ctx, ident.Unknown)
		}
	}
}

// answerSettled answers from the entry of a key. The last result is false if the
// attempt that holds the key has not ended.
func (c *Core) answerSettled(r *Request, e claim.Entry) (*PlainResponse, error, bool) {
	c.recordEvent(trace.Claimed, r, "key was claimed by request %s", e.Request)
	switch {
	case e.State == claim.Answered && !e.Expired(time.Now()):
		p, err := replayAnswer(e)
		return p, err, true
	case e.State == claim.Answered:
		return nil, repeatFailure("key-expired", "the key is too old; the request was answered", ident.Answered), true
	case e.State == claim.Unanswered:
		return nil, repeatFailure("unknown-outcome", "the request was sent and its answer was lost", ident.Unknown), true
	case e.State == claim.Released && e.Expired(time.Now()):
		return nil, repeatFailure("key-expired", "the key is too old; the request did not run", ident.NotRun), true
	case e.State == claim.Released:
		return nil, errReleased, true
	default:
		return nil, nil, false
	}
}

func replayAnswer(e claim.Entry) (*PlainResponse, error) {
	if e.Answer == nil || e.Answer.Omitted {
		return nil, repeatFailure("already-answered", "the request was answered, the answer was too large to keep", ident.Answered)
	}
	p := &PlainResponse{Status: e.Answer.Status, Body: e.Answer.Body}
	p.Header.SetContentType(e.Answer.ContentType)
	p.Header.Set(ReplayHeader, "true")
	return p, nil
}

func repeatFailure(code, message string, outcome ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusConflict, code, message, outcome, 0}
}

// holderAlive reports whether the attempt that holds a key may still be running.
func (c *Core) holderAlive(e claim.Entry) bool {
	if e.Holder == c.Claims.Holder {
		return c.Claims.Running(e.Attempt)
	}
	return c.Alive(e.Holder.Node, e.Holder.Boot)
}

// holderCheckInterval is the longest time between two checks of whether the
// holder of a key is still alive.
const holderCheckInterval = 200 * time.Millisecond

// waitForChange waits for a change of the keys, but no longer than
// holderCheckInterval, and reports whether the context is still active.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(holderCheckInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// AsFailure returns the *Failure that an error wraps. Any other error becomes
// an internal failure with an unknown outcome.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{fasthttp.StatusInternalServerError, "internal", err.Error(), ident.Unknown, 0}
}
