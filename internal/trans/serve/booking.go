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
	// maxClaimWait bounds the wait for the log to settle a claim.
	maxClaimWait = 2 * time.Second
	// maxKeptBody bounds the answers that are kept for repeats.
	maxKeptBody = 4 << 10
	// ReplayHeader marks an answer that was given before.
	ReplayHeader = "Idempotent-Replay"
)

// errReleased means that a key is free again.
const errReleased = errors.ConstError("key was released")

// Booking is a request that must run at most once.
type Booking struct {
	Key string
	// Digest binds the key to the request's content.
	Digest uint64
	Out    *fasthttp.Request
}

// Book runs a request at most once under its idempotency key. A repeat gets
// the first answer. The error is a *Failure.
func (c *Core) Book(ctx context.Context, r *Request, b Booking) (*Plain, error) {
	if f := c.admitPlain(r); f != nil {
		return nil, f
	}
	defer c.Tally.Begin(r.Workspace, 0)()
	key := claim.Key{Workspace: r.Workspace, Name: b.Key}
	for {
		p, err := c.bookOnce(ctx, r, b, key)
		if !errors.Is(err, errReleased) {
			return p, err
		}
	}
}

// bookOnce claims the key or answers from what is known of it. It fails with
// errReleased if the key became free meanwhile.
func (c *Core) bookOnce(ctx context.Context, r *Request, b Booking, key claim.Key) (*Plain, error) {
	if e, ok := c.Keeper.Lookup(key); ok && (e.State != claim.Free || e.Expired(time.Now())) {
		return c.repeat(ctx, r, b, key)
	}
	if c.Keeper.Down() {
		return nil, failBusy("log-down", "bookings wait for the platform's log")
	}
	u, err := c.claim(ctx, r, b, key)
	if err != nil {
		return nil, c.unclaimed(ctx, r)
	}
	if !u.Won {
		return c.repeat(ctx, r, b, key)
	}
	c.event(trace.Claimed, r, "holds key %s", b.Key)
	return c.runClaimed(ctx, r, b, key, u)
}

func (c *Core) claim(ctx context.Context, r *Request, b Booking, key claim.Key) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, min(maxClaimWait, r.Remaining()/2))
	defer cancel()
	age := min(r.Table.Document.Limits.KeyAge.D(), c.LogRetention/3)
	return c.Keeper.Claim(ctx, claim.Item{Key: key, Request: r.ID, Digest: b.Digest, Age: age})
}

func (c *Core) unclaimed(ctx context.Context, r *Request) *Failure {
	c.event(trace.Refused, r, "log did not settle the claim")
	if ctx.Err() != nil {
		return failEnded(ctx, ident.NotRun)
	}
	return failBusy("log-down", "the platform's log did not settle the claim in time")
}

// runClaimed sends a request whose key this attempt holds, and settles the
// key by what came of it.
func (c *Core) runClaimed(ctx context.Context, r *Request, b Booking, key claim.Key, u claim.Result) (*Plain, error) {
	t := &plainTry{core: c, ctx: ctx, req: r, out: b.Out, excluded: ident.Set[ident.EndpointName]{}}
	if ctx.Err() != nil {
		c.Keeper.Settle(claim.Release, u, key, nil)
		return nil, failEnded(ctx, ident.NotRun)
	}
	p, err := t.run()
	switch {
	case err == nil:
		c.Keeper.Settle(claim.Done, u, key, kept(p))
	case t.sent:
		c.Keeper.Settle(claim.Lost, u, key, nil)
	default:
		c.Keeper.Settle(claim.Release, u, key, nil)
	}
	return p, err
}

func kept(p *Plain) *claim.Answer {
	a := &claim.Answer{Status: p.Status, ContentType: string(p.Header.ContentType()), Body: p.Body}
	if len(p.Body) > maxKeptBody {
		a.Body = nil
		a.Omitted = true
	}
	return a
}

// repeat answers a request whose key was claimed before.
func (c *Core) repeat(ctx context.Context, r *Request, b Booking, key claim.Key) (*Plain, error) {
	for {
		changed := c.Keeper.Changed()
		e, ok := c.Keeper.Lookup(key)
		if !ok {
			return nil, errReleased
		}
		if e.Digest != b.Digest {
			return nil, &Failure{fasthttp.StatusUnprocessableEntity, "key-reused", "the idempotency key was used with another request", ident.NotRun, 0}
		}
		if p, err, settled := c.settled(r, e); settled {
			return p, err
		}
		if !c.holderLives(e) {
			return nil, failRepeat("unknown-outcome", "the node that held the key is gone", ident.Unknown)
		}
		if !waitFor(ctx, changed) {
			return nil, failEnded(ctx, ident.Unknown)
		}
	}
}

// settled answers from a key's entry, if its state is final.
func (c *Core) settled(r *Request, e claim.Entry) (*Plain, error, bool) {
	c.event(trace.Claimed, r, "key was claimed by request %s", e.Request)
	switch {
	case e.State == claim.Finished && !e.Expired(time.Now()):
		p, err := replay(e)
		return p, err, true
	case e.State == claim.Finished:
		return nil, failRepeat("key-expired", "the key is too old; the request was answered", ident.Answered), true
	case e.State == claim.Uncertain:
		return nil, failRepeat("unknown-outcome", "the request was sent and its answer was lost", ident.Unknown), true
	case e.State == claim.Free && e.Expired(time.Now()):
		return nil, failRepeat("key-expired", "the key is too old; the request did not run", ident.NotRun), true
	case e.State == claim.Free:
		return nil, errReleased, true
	default:
		return nil, nil, false
	}
}

func replay(e claim.Entry) (*Plain, error) {
	if e.Answer == nil || e.Answer.Omitted {
		return nil, failRepeat("already-answered", "the request was answered, the answer was too large to keep", ident.Answered)
	}
	p := &Plain{Status: e.Answer.Status, Body: e.Answer.Body}
	p.Header.SetContentType(e.Answer.ContentType)
	p.Header.Set(ReplayHeader, "true")
	return p, nil
}

func failRepeat(code, why string, out ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusConflict, code, why, out, 0}
}

// holderLives reports whether the attempt that holds a key may still end.
func (c *Core) holderLives(e claim.Entry) bool {
	if e.Holder == c.Keeper.Holder {
		return c.Keeper.Running(e.Attempt)
	}
	return c.Alive(e.Holder.Node, e.Holder.Boot)
}

// aliveCheck is how often a repeat looks whether the holder lives.
const aliveCheck = 200 * time.Millisecond

// waitFor waits for a change or some time, and reports whether the context
// still lives.
func waitFor(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(aliveCheck)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// AsFailure returns the failure in an error.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{fasthttp.StatusInternalServerError, "internal", err.Error(), ident.Unknown, 0}
}
