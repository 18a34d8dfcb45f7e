package delay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

func TestForWaitsForDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		test.True(t, For(ctx, time.Second))
		test.Eq(t, time.Second, time.Since(start))
		test.True(t, For(ctx, 0))
		time.AfterFunc(time.Second, cancel)
		test.False(t, For(ctx, time.Minute))
		test.Eq(t, 2*time.Second, time.Since(start))
		test.False(t, For(ctx, -1))
	})
}

func TestEveryCallsUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func(time.Time) { calls++ })
		test.Eq(t, 3, calls)
	})
}
