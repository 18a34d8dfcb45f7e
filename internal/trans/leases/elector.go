// Package leases acquires and renews the lease whose holder may give orders to
// engines.
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
	// renewalsPerLength is the largest number of renewals within the length of
	// a lease. A random delay between two renewals may make it one less.
	renewalsPerLength = 3
	// The holder stops acting Length/marginDivisor before the lease ends,
	// because clocks drift.
	marginDivisor = 5
)

// Elector acquires and renews the lease for this node. Its exported fields are
// set before Run.
type Elector struct {
	Log    messg.Log
	Holder claim.Holder
	// Length is how long the lease lasts without renewal.
	Length time.Duration
	Ring   *trace.Ring
	Logger zerolog.Logger

	mu    sync.Mutex
	table lease.Table
	// actUntil is when this node must stop acting as the holder. It is counted
	// from just before the record that acquired or last renewed the lease was
	// sent.
	actUntil time.Time
	// sentAt holds, by sequence number, when this node sent the records that it
	// has not yet read back from the stream.
	sentAt map[uint64]time.Time
	// seq is the sequence number of the last request or renewal of the lease.
	seq uint64
	// number is the fencing number of the lease that this node held last.
	number   ident.Offset
	isHolder bool
}

// Run follows the lease stream, acquires the lease and renews it until the
// context ends, and then ends it.
func (e *Elector) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { e.follower().Run(ctx); return nil })
	g.Go(func() error { e.acquireAndRenew(ctx); return nil })
	return g.Wait()
}

// Held returns the fencing number of the lease, the time left to act as its
// holder, and whether this node may act.
func (e *Elector) Held() (ident.Offset, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := time.Until(e.actUntil)
	return e.number, left, e.isHolder && left > 0
}

// acquireAndRenew acquires the lease when it is free and renews it while this
// node holds it. When the context ends, it ends the lease.
func (e *Elector) acquireAndRenew(ctx context.Context) {
	for delay.For(ctx, e.Length/renewalsPerLength+rand.N(e.Length/renewalsPerLength/2)) {
		if r, ok := e.nextRecord(time.Now()); ok {
			e.append(ctx, r)
		}
	}
	if n, _, ok := e.Held(); ok {
		endCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e.append(endCtx, lease.Record{Holder: e.Holder, Number: n, End: true})
	}
}

// nextRecord returns the record to append now, if any.
func (e *Elector) nextRecord(now time.Time) (lease.Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, granted := e.table.Current()
	renew := e.isHolder && now.Before(e.actUntil)
	// l.Until is by the clock of the log, which may differ from this one: a
	// request that comes too early is not granted, a late one only delays the
	// next lease.
	if !renew && granted && now.Before(l.Until) {
		return lease.Record{}, false
	}
	e.seq++
	if e.sentAt == nil {
		e.sentAt = map[uint64]time.Time{}
	}
	e.sentAt[e.seq] = now
	r := lease.Record{Holder: e.Holder, Seq: e.seq, Length: e.Length, Renew: renew}
	if renew {
		r.Number = e.number
	}
	return r, true
}

func (e *Elector) append(ctx context.Context, r lease.Record) {
	raw, err := json.Marshal(r)
	if err != nil {
		e.Logger.Error().Err(err).Msg("leases: cannot encode record")
		return
	}
	if _, err := e.Log.Append(ctx, messg.LeaseStream, raw); err != nil {
		e.Logger.Debug().Err(errors.Trace(err)).Msg("leases: append failed")
	}
}

func (e *Elector) follower() tail.Follower {
	return tail.Follower{Log: e.Log, Stream: messg.LeaseStream, Apply: e.apply}
}

func (e *Elector) apply(p messg.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tail.DecodeEach(p, e.Logger, func(r messg.Record, rec lease.Record) {
		e.table.Apply(r.Offset, r.At, rec)
		e.updateHeld(rec)
	})
}

// updateHeld updates isHolder and, after a record of this node, actUntil.
func (e *Elector) updateHeld(rec lease.Record) {
	l, granted := e.table.Current()
	wasHolder := e.isHolder
	e.isHolder = granted && l.Holder == e.Holder
	if e.isHolder != wasHolder {
		e.Ring.Add(trace.Lease, "", fmt.Sprintf("holds the lease: %t, number %d", e.isHolder, l.Number))
	}
	if rec.Holder != e.Holder {
		return
	}
	if at, ok := e.sentAt[rec.Seq]; ok && e.isHolder && !rec.End {
		e.number = l.Number
		e.actUntil = at.Add(e.Length - e.Length/marginDivisor)
	}
	delete(e.sentAt, rec.Seq)
}
