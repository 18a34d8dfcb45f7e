// Package claims records in the log which attempt holds an idempotency key. It
// follows the claim stream and appends this node's claims in batches, each batch
// as one record.
package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/tail"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrNoResult means that the result of a claim was not read from the log in
// time.
const ErrNoResult = errors.ConstError("no result of the claim in time")

const (
	// retryPause is the pause after a failed append.
	retryPause = 100 * time.Millisecond
	// downAfter is how long calls to the log must fail before it counts as
	// down.
	downAfter = 500 * time.Millisecond
)

// Claimer claims idempotency keys for this node's requests. Its exported
// fields are set before Run.
type Claimer struct {
	Log    messg.Log
	Holder claim.Holder
	// Interval is the shortest pause between two appends.
	Interval time.Duration
	Logger   zerolog.Logger

	mu          sync.Mutex
	table       *claim.Table
	queue       []claim.Item
	flushSignal chan struct{}
	// appending is the number of items whose append is under way.
	appending int
	// waiters are the channels on which calls of Claim receive their results.
	waiters map[ident.AttemptID]chan claim.Result
	// running holds this node's attempts that won their key and have not
	// ended.
	running map[ident.AttemptID]struct{}
	// settled holds the items that ended this node's attempts, until they are
	// read back from the stream.
	settled map[ident.AttemptID]claim.Item
	// abandoned holds the keys of attempts that Claim no longer waits for, but
	// whose claim may still appear in the stream.
	abandoned map[ident.AttemptID]claim.Key
	// changed is closed and replaced at each change of the keys.
	changed chan struct{}
	// failingSince is when calls to the log began to fail; zero if the last
	// one succeeded.
	failingSince time.Time
}

// Init prepares the claimer; it is called once before Run.
func (c *Claimer) Init() {
	c.table = claim.NewTable()
	c.flushSignal = make(chan struct{}, 1)
	c.waiters = map[ident.AttemptID]chan claim.Result{}
	c.running = map[ident.AttemptID]struct{}{}
	c.settled = map[ident.AttemptID]claim.Item{}
	c.abandoned = map[ident.AttemptID]claim.Key{}
	c.changed = make(chan struct{})
}

// Run follows the stream and appends until the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { c.follower().Run(ctx); return nil })
	g.Go(func() error { c.flushLoop(ctx); return nil })
	return g.Wait()
}

// Claim claims a key and waits for the result. After an error the request must
// not run; if the claim takes effect later, it is released.
func (c *Claimer) Claim(ctx context.Context, it claim.Item) (claim.Result, error) {
	it.Op = claim.Claim
	it.Attempt = ident.AttemptID(ident.NewID())
	results := make(chan claim.Result, 1)
	c.mu.Lock()
	c.waiters[it.Attempt] = results
	c.enqueue(it)
	c.mu.Unlock()
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
		return c.abandon(it, results)
	}
}

// abandon stops waiting for a result, unless it has arrived in the meantime.
func (c *Claimer) abandon(it claim.Item, results chan claim.Result) (claim.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case r := <-results:
		return r, nil
	default:
	}
	delete(c.waiters, it.Attempt)
	if !c.dequeue(it.Attempt) {
		c.abandoned[it.Attempt] = it.Key
	}
	return claim.Result{}, ErrNoResult
}

// dequeue removes the claim of an attempt from the queue. It returns false if
// the queue doesn't contain it, because flush has taken it for an append.
func (c *Claimer) dequeue(a ident.AttemptID) bool {
	for i, it := range c.queue {
		if it.Attempt == a {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends an attempt that holds a key. It only queues the item that ends the
// attempt; appending it is retried until it succeeds.
func (c *Claimer) Settle(op claim.Op, r claim.Result, key claim.Key, a *claim.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	it := claim.Item{Op: op, Key: key, Attempt: r.Attempt, Request: r.Entry.Request, Answer: a}
	delete(c.running, r.Attempt)
	c.settled[r.Attempt] = it
	c.enqueue(it)
	c.notifyChange()
}

func (c *Claimer) enqueue(it claim.Item) {
	c.queue = append(c.queue, it)
	select {
	case c.flushSignal <- struct{}{}:
	default:
	}
}

// Lookup returns the state of a key. It takes into account the ended attempts
// of this node whose end has not been read back from the stream yet.
func (c *Claimer) Lookup(key claim.Key) (claim.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.table.Lookup(key)
	if !ok {
		return e, false
	}
	if it, settled := c.settled[e.Attempt]; settled {
		e.Settle(it)
	}
	return e, true
}

// notifyChange closes the channel returned by Changed and replaces it.
func (c *Claimer) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Running reports whether an attempt of this node holds a key and has not ended.
func (c *Claimer) Running(a ident.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.running[a]
	return ok
}

// Changed returns a channel that is closed at the next change of the keys.
func (c *Claimer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// LogDown reports whether calls to the log have been failing for longer than
// downAfter.
func (c *Claimer) LogDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failingSince.IsZero() && time.Since(c.failingSince) > downAfter
}

// QueueLen returns the number of items that are not appended yet.
func (c *Claimer) QueueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.appending
}

func (c *Claimer) recordLogResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil && !c.failingSince.IsZero():
		c.failingSince = time.Time{}
		c.Logger.Info().Msg("claims: log calls succeed again")
	case err != nil && c.failingSince.IsZero():
		c.failingSince = time.Now()
		c.Logger.Warn().Err(err).Msg("claims: log call failed")
	}
}

// follower returns the follower that replays the claim stream.
func (c *Claimer) follower() tail.Follower {
	return tail.Follower{Log: c.Log, Stream: messg.ClaimStream, Apply: c.apply, OnRead: c.recordLogResult}
}

func (c *Claimer) apply(p messg.Page) {
	if len(p.Records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tail.DecodeEach(p, c.Logger, func(r messg.Record, rec claim.Record) {
		for _, result := range c.table.Apply(r.Offset, r.At, rec) {
			c.deliver(result)
		}
		for _, it := range rec.Items {
			if it.Op != claim.Claim {
				delete(c.settled, it.Attempt)
			}
		}
	})
	c.notifyChange()
}

// deliver passes a result to the call of Claim that waits for it. If an
// abandoned attempt won its key, deliver releases the key.
func (c *Claimer) deliver(result claim.Result) {
	if w, ok := c.waiters[result.Attempt]; ok {
		delete(c.waiters, result.Attempt)
		if result.Won {
			c.running[result.Attempt] = struct{}{}
		}
		w <- result
		return
	}
	key, ok := c.abandoned[result.Attempt]
	delete(c.abandoned, result.Attempt)
	if ok && result.Won {
		c.enqueue(claim.Item{Op: claim.Release, Key: key, Attempt: result.Attempt, Request: result.Entry.Request})
	}
}

// flushLoop appends the queue until the context ends, one record at a time.
func (c *Claimer) flushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.flushSignal:
		}
		for c.flush(ctx) {
			delay.For(ctx, c.Interval)
		}
	}
}

// flush appends the queued items as one record. It returns false if there were
// none or the context has ended. Items whose append failed are queued again:
// the append may have taken effect nevertheless, but applying an item twice has
// no further effect.
func (c *Claimer) flush(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	c.mu.Lock()
	items := c.queue
	c.queue, c.appending = nil, len(items)
	c.mu.Unlock()
	if len(items) == 0 {
		return false
	}
	raw, err := json.Marshal(claim.Record{Holder: c.Holder, Items: items})
	if err != nil {
		c.Logger.Error().Err(err).Msg("claims: cannot encode record, dropping its items")
		c.requeue(nil)
		return true
	}
	_, err = c.Log.Append(ctx, messg.ClaimStream, raw)
	c.recordLogResult(err)
	if err == nil {
		c.mu.Lock()
		c.appending = 0
		c.mu.Unlock()
		return true
	}
	c.requeue(items)
	delay.For(ctx, retryPause)
	return true
}

// requeue puts the items whose append has ended back at the head of the queue,
// except for claims that were abandoned in the meantime.
func (c *Claimer) requeue(items []claim.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []claim.Item
	for _, it := range items {
		if _, abandoned := c.abandoned[it.Attempt]; abandoned && it.Op == claim.Claim {
			continue
		}
		kept = append(kept, it)
	}
	c.queue, c.appending = append(kept, c.queue...), 0
}
