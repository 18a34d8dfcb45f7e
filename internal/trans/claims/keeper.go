// Package claims keeps this node's view of the claim stream and appends its
// own claims, many in one record.
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

// ErrNoLog means that a claim could not be settled through the log in time.
const ErrNoLog = errors.ConstError("log did not settle the claim in time")

const (
	// retryWait is the pause after a failed append.
	retryWait = 100 * time.Millisecond
	// downAfter is how long calls must fail before the log counts as down.
	downAfter = 500 * time.Millisecond
)

// Keeper claims idempotency keys. Its exported fields are set before Run.
type Keeper struct {
	Log    messg.Log
	Holder claim.Holder
	// Interval is the least time between two appends.
	Interval time.Duration
	Logger   zerolog.Logger

	mu    sync.Mutex
	table *claim.Table
	queue []claim.Item
	kick  chan struct{}
	// waiters get the ruling on attempts of this node.
	waiters map[ident.AttemptID]chan claim.Result
	// running are the attempts that hold a key and may still send.
	running map[ident.AttemptID]struct{}
	// settled are the ends of attempts that are not yet in the stream.
	settled map[ident.AttemptID]claim.Item
	// abandoned are attempts whose claim may still appear in the stream.
	abandoned map[ident.AttemptID]claim.Key
	// changed is closed at the next record.
	changed chan struct{}
	// failing is when calls began to fail; zero if the last one worked.
	failing time.Time
	appends int64
}

// Init prepares the keeper; it is called once before Run.
func (k *Keeper) Init() {
	k.table = claim.NewTable()
	k.kick = make(chan struct{}, 1)
	k.waiters = map[ident.AttemptID]chan claim.Result{}
	k.running = map[ident.AttemptID]struct{}{}
	k.settled = map[ident.AttemptID]claim.Item{}
	k.abandoned = map[ident.AttemptID]claim.Key{}
	k.changed = make(chan struct{})
}

// Run follows the stream and appends until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.follower().Run(ctx); return nil })
	g.Go(func() error { k.flushAll(ctx); return nil })
	return g.Wait()
}

// Claim asks for a key and waits for the ruling. After an error the request
// must not run; a claim that takes effect later is released.
func (k *Keeper) Claim(ctx context.Context, it claim.Item) (claim.Result, error) {
	it.Op = claim.Claim
	it.Attempt = ident.AttemptID(ident.New())
	wait := make(chan claim.Result, 1)
	k.mu.Lock()
	k.waiters[it.Attempt] = wait
	k.push(it)
	k.mu.Unlock()
	select {
	case r := <-wait:
		return r, nil
	case <-ctx.Done():
		return k.abandon(it, wait)
	}
}

// abandon gives up waiting, unless the ruling came meanwhile.
func (k *Keeper) abandon(it claim.Item, wait chan claim.Result) (claim.Result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case r := <-wait:
		return r, nil
	default:
	}
	delete(k.waiters, it.Attempt)
	if !k.unqueue(it.Attempt) {
		k.abandoned[it.Attempt] = it.Key
	}
	return claim.Result{}, ErrNoLog
}

// unqueue removes a claim that was never appended, and reports whether it
// did.
func (k *Keeper) unqueue(a ident.AttemptID) bool {
	for i, it := range k.queue {
		if it.Attempt == a {
			k.queue = append(k.queue[:i:i], k.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends an attempt that holds a key. The record is appended as soon as
// the log allows.
func (k *Keeper) Settle(op claim.Op, r claim.Result, key claim.Key, a *claim.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it := claim.Item{Op: op, Key: key, Attempt: r.Attempt, Request: r.Entry.Request, Answer: a}
	delete(k.running, r.Attempt)
	k.settled[r.Attempt] = it
	k.push(it)
	k.wake()
}

func (k *Keeper) push(it claim.Item) {
	k.queue = append(k.queue, it)
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// Lookup returns what is known of a key. The end of an attempt of this node
// counts before it is in the stream.
func (k *Keeper) Lookup(key claim.Key) (claim.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.table.Lookup(key)
	if !ok {
		return e, false
	}
	if it, ended := k.settled[e.Attempt]; ended {
		e.Settle(it)
	}
	return e, true
}

// wake tells those who wait for a change.
func (k *Keeper) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Running reports whether this node still runs an attempt.
func (k *Keeper) Running(a ident.AttemptID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.running[a]
	return ok
}

// Changed returns a channel that is closed at the next record.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Down reports whether the log has failed for a while.
func (k *Keeper) Down() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.failing.IsZero() && time.Since(k.failing) > downAfter
}

// Pending returns the number of items not yet appended.
func (k *Keeper) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// Size returns the number of keys known and of appends made.
func (k *Keeper) Size() (keys int, appends int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len(), k.appends
}

func (k *Keeper) note(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil && !k.failing.IsZero():
		k.failing = time.Time{}
		k.Logger.Info().Msg("claims: log answers")
	case err != nil && k.failing.IsZero():
		k.failing = time.Now()
		k.Logger.Warn().Err(err).Msg("claims: log does not answer")
	}
}

// follower folds the stream.
func (k *Keeper) follower() tail.Follower {
	return tail.Follower{Log: k.Log, Stream: messg.ClaimStream, Apply: k.apply, Note: k.note}
}

func (k *Keeper) apply(p messg.Page) {
	if len(p.Records) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	tail.Each(p, k.Logger, func(r messg.Record, rec claim.Record) {
		for _, u := range k.table.Apply(r.Offset, r.At, rec) {
			k.hand(u)
		}
		for _, it := range rec.Items {
			if it.Op != claim.Claim {
				delete(k.settled, it.Attempt)
			}
		}
	})
	k.wake()
}

// hand gives a ruling to the attempt that waits for it.
func (k *Keeper) hand(u claim.Result) {
	if w, ok := k.waiters[u.Attempt]; ok {
		delete(k.waiters, u.Attempt)
		if u.Won {
			k.running[u.Attempt] = struct{}{}
		}
		w <- u
		return
	}
	if key, ok := k.abandoned[u.Attempt]; ok && u.Won {
		k.push(claim.Item{Op: claim.Release, Key: key, Attempt: u.Attempt, Request: u.Entry.Request})
	}
}

// flushAll appends the queue, one record at a time.
func (k *Keeper) flushAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.kick:
		}
		for k.flush(ctx) {
			delay.For(ctx, k.Interval)
		}
	}
}

// flush appends what is queued and reports whether there was something. A
// failed append is repeated: the items are idempotent.
func (k *Keeper) flush(ctx context.Context) bool {
	k.mu.Lock()
	items := k.queue
	k.queue = nil
	k.mu.Unlock()
	if len(items) == 0 || ctx.Err() != nil {
		return false
	}
	raw, err := json.Marshal(claim.Record{Holder: k.Holder, Items: items})
	if err != nil {
		k.Logger.Error().Err(err).Msg("claims: record not encoded")
		return true
	}
	_, err = k.Log.Append(ctx, messg.ClaimStream, raw)
	k.note(err)
	if err == nil {
		k.mu.Lock()
		k.appends++
		k.mu.Unlock()
		return true
	}
	k.requeue(items)
	delay.For(ctx, retryWait)
	return true
}

// requeue puts items back, without claims that were abandoned meanwhile.
func (k *Keeper) requeue(items []claim.Item) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []claim.Item
	for _, it := range items {
		if _, gone := k.abandoned[it.Attempt]; gone && it.Op == claim.Claim {
			continue
		}
		kept = append(kept, it)
	}
	k.queue = append(kept, k.queue...)
}
