// Package delay waits for times, or for the end of a context.
package delay

import (
	"context"
	"time"
)

// For waits, and reports whether the context still lives.
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

// Every calls a function with the time, again and again after a pause, until
// the context ends.
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
