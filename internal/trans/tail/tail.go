// Package tail continuously reads the records appended to a stream of the log.
package tail

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// readWait is how long a read waits for new records.
	readWait = 2 * time.Second
	// minRetryDelay is the pause after the first failed read. It doubles with
	// each further failure up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Follower reads the records of a stream, from the oldest one or from the offset
// that Next returns, and waits for new ones. Its fields are set before Run.
type Follower struct {
	Log    messg.Log
	Stream messg.StreamName
	// Next returns the offset of the next read. If it is nil, each read starts
	// after the last record read. Set it if the consumer may also skip records,
	// for example by restoring a snapshot from a peer.
	Next func() ident.Offset
	// Apply is called with each page read. A page may have no records.
	Apply func(messg.Page)
	// OnRead is called with the error of each read, or nil if the read succeeded.
	// It may be nil.
	OnRead func(error)
}

// Run reads the stream until the context ends.
func (f Follower) Run(ctx context.Context) {
	retryDelay, next := minRetryDelay, ident.Offset(0)
	for ctx.Err() == nil {
		if f.Next != nil {
			next = f.Next()
		}
		p, err := f.Log.Read(ctx, f.Stream, next, readWait)
		if ctx.Err() != nil {
			return
		}
		if f.OnRead != nil {
			f.OnRead(err)
		}
		if err != nil {
			delay.For(ctx, retryDelay)
			retryDelay = min(maxRetryDelay, 2*retryDelay)
			continue
		}
		retryDelay = minRetryDelay
		f.Apply(p)
		if n := len(p.Records); n > 0 {
			next = p.Records[n-1].Offset + 1
		}
	}
}

// DecodeEach decodes the records of a page from JSON and calls apply with each.
// It logs and skips a record that can't be decoded.
func DecodeEach[T any](p messg.Page, l zerolog.Logger, apply func(messg.Record, T)) {
	for _, r := range p.Records {
		var v T
		if err := json.Unmarshal(r.Data, &v); err != nil {
			l.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("tail: record can't be decoded")
			continue
		}
		apply(r, v)
	}
}
