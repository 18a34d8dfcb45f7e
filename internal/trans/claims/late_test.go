package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// lateLog is a log whose appends take a second.
type lateLog struct{ *memlog.Log }

func (l lateLog) Append(ctx context.Context, s messg.StreamName, raw []byte) (ident.Offset, error) {
	if !delay.For(ctx, time.Second) {
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, s, raw)
}

func (c *Claimer) abandonedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.abandoned)
}

// Guards against a key that stays claimed by an attempt which nobody waits for, and
// against memory that is held for it for ever.
func TestAbandonedClaimThatWonIsReleasedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Claimer{Log: lateLog{&memlog.Log{}}, Holder: claim.Holder{Node: "a", Boot: 1}, Logger: zerolog.Nop()}
		c.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		key := claim.Key{Workspace: "w", Name: "k"}
		short, stop := context.WithTimeout(ctx, 500*time.Millisecond)
		defer stop()
		_, err := c.Claim(short, claim.Item{Key: key, Age: time.Hour})
		must.ErrorIs(t, err, ErrNoResult)
		must.Eq(t, 1, c.abandonedCount())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		e, ok := c.Lookup(key)
		must.True(t, ok)
		test.Eq(t, claim.Released, e.State)
		test.Eq(t, 0, c.abandonedCount())
		cancel()
		<-done
	})
}

// Guards against a node that stops while the last claims are being appended: bookings
// that were answered would become unknown.
func TestItemsBeingAppendedCountAsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := claim.Key{Workspace: "w", Name: "k"}
		c := &Claimer{Log: lateLog{&memlog.Log{}}, Holder: claim.Holder{Node: "a", Boot: 1}, Logger: zerolog.Nop()}
		c.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		r, err := c.Claim(ctx, claim.Item{Key: key, Age: time.Hour})
		must.NoError(t, err)
		c.Settle(claim.Done, r, key, &claim.Answer{Status: 201})
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		test.Eq(t, 1, c.QueueLen())
		time.Sleep(time.Second)
		test.Eq(t, 0, c.QueueLen())
		cancel()
		<-done
	})
}
