// Package tail follows streams of the log.
package tail

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// readWait is the long poll of a read.
	readWait = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// Follower reads one stream from its state on. Its fields are set before Run.
type Follower struct {
	Log    messg.Log
	Stream messg.StreamName
	// Next returns the offset of the first record not yet applied.
	Next func() ident.Offset
	// Apply takes the records read, which may be none.
	Apply func(messg.Page)
	// Note is told of each read, failed or not; it may be nil.
	Note func(error)
}

// Run follows the stream until the context ends.
func (f Follower) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		p, err := f.Log.Read(ctx, f.Stream, f.Next(), readWait)
		if ctx.Err() != nil {
			return
		}
		if f.Note != nil {
			f.Note(err)
		}
		if err != nil {
			Pause(ctx, wait)
			wait = min(lastRetry, 2*wait)
			continue
		}
		wait = firstRetry
		f.Apply(p)
	}
}

// Pause waits, and reports whether the context still lives.
func Pause(ctx context.Context, d time.Duration) bool {
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
