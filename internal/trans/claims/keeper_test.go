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

// start runs a keeper until the test ends.
func start(t *testing.T, l *memlog.Log, name ident.NodeName) *claims.Keeper {
	k := &claims.Keeper{Log: l, Holder: claim.Holder{Node: name, Boot: 1}, Interval: 50 * time.Millisecond, Logger: zerolog.Nop()}
	k.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return k
}

func ask(k *claims.Keeper, limit time.Duration) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return k.Claim(ctx, claim.Item{Key: key, Age: time.Hour})
}

func TestOneOfManyNodesWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		const n = 5
		wins := make(chan bool, n)
		for i := range n {
			k := start(t, l, ident.NodeName(rune('a'+i)))
			go func() {
				r, err := ask(k, time.Second)
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
		k := start(t, l, "a")
		const n = 200
		done := make(chan error, n)
		for i := range n {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := k.Claim(ctx, claim.Item{Key: claim.Key{Name: string(rune(i))}, Age: time.Hour})
				done <- err
			}()
		}
		for range n {
			must.NoError(t, <-done)
		}
		test.LessEq(t, 3, l.Appends())
	})
}

func TestLostAnswerOfAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		l.LoseAnswers(1)
		k := start(t, l, "a")
		r, err := ask(k, time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
		time.Sleep(time.Second)
		test.True(t, k.Running(r.Attempt))
		e, _ := k.Lookup(key)
		test.Eq(t, claim.Held, e.State)
	})
}

func TestOutageFailsInTimeAndLeavesTheKeyFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		k := start(t, l, "a")
		time.Sleep(time.Millisecond)
		l.SetDown(true)
		began := time.Now()
		_, err := ask(k, 300*time.Millisecond)
		test.ErrorIs(t, err, claims.ErrNoLog)
		test.LessEq(t, 300*time.Millisecond, time.Since(began))
		time.Sleep(5 * time.Second)
		test.True(t, k.Down())
		l.SetDown(false)
		time.Sleep(5 * time.Second)
		test.False(t, k.Down())
		r, err := ask(start(t, l, "b"), time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
	})
}

func TestAbandonedClaimThatTookEffectIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		l.LoseAnswers(1)
		k := start(t, l, "a")
		_, err := ask(k, 0)
		test.ErrorIs(t, err, claims.ErrNoLog)
		time.Sleep(5 * time.Second)
		r, err := ask(start(t, l, "b"), time.Second)
		must.NoError(t, err)
		test.True(t, r.Won)
	})
}

func TestEndOfAnAttemptIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		a, b := start(t, l, "a"), start(t, l, "b")
		r, err := ask(a, time.Second)
		must.NoError(t, err)
		l.SetDown(true)
		a.Settle(claim.Done, r, key, &claim.Answer{Status: 201})
		e, _ := a.Lookup(key)
		test.Eq(t, claim.Finished, e.State)
		test.Eq(t, 201, e.Answer.Status)
		l.SetDown(false)
		time.Sleep(5 * time.Second)
		e, _ = b.Lookup(key)
		test.Eq(t, claim.Finished, e.State)
		test.Eq(t, 0, a.Pending())
	})
}
