package claims_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/trans/claims"
	"laburnumstack.org/laburnum/pkg/ident"
)

var key = claim.Key{Workspace: "w", Name: "k"}

// startClaimer runs a claimer until the test ends.
func startClaimer(t *testing.T, l *memlog.Log, name ident.NodeName) *claims.Claimer {
	c := &claims.Claimer{Log: l, Holder: claim.Holder{Node: name, Boot: 1}, Interval: 50 * time.Millisecond, Logger: zerolog.Nop()}
	c.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func claimKey(c *claims.Claimer, limit time.Duration) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Claim(ctx, claim.Item{Key: key, Age: time.Hour})
}

func TestOneOfManyNodesWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		const n = 5
		wins := make(chan bool, n)
		for i := range n {
			c := startClaimer(t, l, ident.NodeName(rune('a'+i)))
			go func() {
				r, err := claimKey(c, time.Second)
				wins <- err == nil && r.Won
			}()
		}
		won := 0
		for range n {
			if <-wins {
				won++
			}
		}
		test.Eq(t, 1, won)
	})
}

func TestClaimsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		c := startClaimer(t, l, "a")
		const n = 200
		done := make(chan error, n)
		for i := range n {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := c.Claim(ctx, claim.Item{Key: claim.Key{Name: string(rune(i))}, Age: time.Hour})
				done <- err
			}()
		}
		for range n {
			must.NoError(t, <-done)
		}
		test.LessEq(t, 3, l.Appends())
	})
}

func TestClaimIsWonDespiteLostAppendAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		l.LoseAnswers(1)
		c := startClaimer(t, l, "a")
		r, err := claimKey(c, time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
		time.Sleep(time.Second)
		test.True(t, c.Running(r.Attempt))
		e, _ := c.Lookup(key)
		test.Eq(t, claim.Held, e.State)
	})
}

func TestClaimTimesOutDuringOutageAndLeavesKeyFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		c := startClaimer(t, l, "a")
		time.Sleep(time.Millisecond)
		l.SetDown(true)
		began := time.Now()
		_, err := claimKey(c, 300*time.Millisecond)
		test.ErrorIs(t, err, claims.ErrNoResult)
		test.LessEq(t, 300*time.Millisecond, time.Since(began))
		time.Sleep(5 * time.Second)
		test.True(t, c.LogDown())
		l.SetDown(false)
		time.Sleep(5 * time.Second)
		test.False(t, c.LogDown())
		r, err := claimKey(startClaimer(t, l, "b"), time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
	})
}

func TestClaimWithExpiredContextLeavesKeyFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		l.LoseAnswers(1)
		c := startClaimer(t, l, "a")
		_, err := claimKey(c, 0)
		test.ErrorIs(t, err, claims.ErrNoResult)
		time.Sleep(5 * time.Second)
		r, err := claimKey(startClaimer(t, l, "b"), time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
	})
}

func TestEndOfAttemptIsVisibleAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		a, b := startClaimer(t, l, "a"), startClaimer(t, l, "b")
		r, err := claimKey(a, time.Second)
		must.NoError(t, err)
		l.SetDown(true)
		a.Settle(claim.Done, r, key, &claim.Answer{Status: 201})
		e, _ := a.Lookup(key)
		test.Eq(t, claim.Answered, e.State)
		test.Eq(t, 201, e.Answer.Status)
		l.SetDown(false)
		time.Sleep(5 * time.Second)
		e, _ = b.Lookup(key)
		test.Eq(t, claim.Answered, e.State)
		test.Eq(t, 0, a.QueueLen())
	})
}
