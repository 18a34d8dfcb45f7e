// Package leases holds the lease under which one node gives orders.
package leases

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/lease"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/tail"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// parts is how often a lease is renewed within its length.
	parts = 3
	// marginParts of the length is what the holder stops early by, for the
	// drift of clocks.
	marginParts = 5
)

// Keeper asks for the lease and renews it. Its exported fields are set before
// Run.
type Keeper struct {
	Log    messg.Log
	Holder claim.Holder
	// Length is how long the lease lasts without renewal.
	Length time.Duration
	Ring   *trace.Ring
	Logger zerolog.Logger

	mu    sync.Mutex
	table lease.Table
	// until is when this node stops to act, counted from before the record
	// that gave it the time was sent.
	until time.Time
	// sent tells when each record was sent whose effect isn't known yet.
	sent map[uint64]time.Time
	seq  uint64
	held ident.Offset
	mine bool
}

// Run follows the lease until the context ends, then gives it up.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.follower().Run(ctx); return nil })
	g.Go(func() error { k.hold(ctx); return nil })
	return g.Wait()
}

// Held returns the fencing number and the time left to act, if this node
// holds the lease.
func (k *Keeper) Held() (ident.Offset, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	left := time.Until(k.until)
	return k.held, left, k.mine && left > 0
}

// hold asks for the lease when it is free and renews it when it is held.
func (k *Keeper) hold(ctx context.Context) {
	for delay.For(ctx, k.Length/parts+rand.N(k.Length/parts/2)) {
		if r, ok := k.next(time.Now()); ok {
			k.append(ctx, r)
		}
	}
	if n, _, ok := k.Held(); ok {
		last, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		k.append(last, lease.Record{Holder: k.Holder, Number: n, End: true})
	}
}

// next returns the record to append now, if any.
func (k *Keeper) next(now time.Time) (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, granted := k.table.Current()
	renew := k.mine && now.Before(k.until)
	if !renew && granted && now.Before(l.Until) {
		return lease.Record{}, false
	}
	k.seq++
	if k.sent == nil {
		k.sent = map[uint64]time.Time{}
	}
	k.sent[k.seq] = now
	r := lease.Record{Holder: k.Holder, Seq: k.seq, Length: k.Length, Renew: renew}
	if renew {
		r.Number = k.held
	}
	return r, true
}

func (k *Keeper) append(ctx context.Context, r lease.Record) {
	raw, err := json.Marshal(r)
	if err != nil {
		k.Logger.Error().Err(err).Msg("leases: record not encoded")
		return
	}
	if _, err := k.Log.Append(ctx, messg.LeaseStream, raw); err != nil {
		k.Logger.Debug().Err(errors.Trace(err)).Msg("leases: append failed")
	}
}

func (k *Keeper) follower() tail.Follower {
	return tail.Follower{Log: k.Log, Stream: messg.LeaseStream, Apply: k.apply}
}

func (k *Keeper) apply(p messg.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	tail.DecodeEach(p, k.Logger, func(r messg.Record, rec lease.Record) {
		k.table.Apply(r.Offset, r.At, rec)
		k.noteOwn(rec)
	})
}

// noteOwn moves the time until which this node may act.
func (k *Keeper) noteOwn(rec lease.Record) {
	l, granted := k.table.Current()
	was := k.mine
	k.mine = granted && l.Holder == k.Holder
	if k.mine != was {
		k.Ring.Add(trace.Lease, "", fmt.Sprintf("holds the lease: %t, number %d", k.mine, l.Number))
	}
	if rec.Holder != k.Holder {
		return
	}
	if at, ok := k.sent[rec.Seq]; ok && k.mine && !rec.End {
		k.held = l.Number
		k.until = at.Add(k.Length - k.Length/marginParts)
	}
	delete(k.sent, rec.Seq)
}
