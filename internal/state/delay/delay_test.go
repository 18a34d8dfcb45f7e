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

// Guards against loops whose first call comes only after an interval.
func TestRepeatCallsAtOnceAndUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var at []time.Duration
		record := func(now time.Time) { at = append(at, now.Sub(start)) }
		Repeat(ctx, time.Second, record)
		test.Eq(t, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}, at)
		Repeat(ctx, time.Second, record)
		test.SliceLen(t, 5, at)
	})
}
