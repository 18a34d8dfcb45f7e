// Package delay has waits and periodic calls that end with a context.
package delay

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context ends first or has already
// ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f with the current time at intervals of d until the context ends.
func Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}

// Repeat calls f at once, and then at intervals of d until the context ends.
func Repeat(ctx context.Context, d time.Duration, f func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for now := time.Now(); ; {
		f(now)
		select {
		case <-ctx.Done():
			return
		case now = <-t.C:
		}
	}
}
