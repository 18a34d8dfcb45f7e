package feeds

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// rejectionLogInterval is the shortest pause between two log lines on rejected
	// records of the same endpoint.
	rejectionLogInterval = time.Minute
	// maxLoggedRejections is the largest number of endpoints whose rejected records are
	// logged in one interval.
	maxLoggedRejections = 64
)

// rejections counts the records of endpoints that can't be decoded, and bounds the log
// lines on them. It is not safe for concurrent use, except for total.
type rejections struct {
	total atomic.Uint64
	// logged holds the endpoints that were logged since the given time.
	logged ident.Set[ident.EndpointName]
	since  clock.Instant
}

// record counts a rejected record and logs it unless there were too many.
func (r *rejections) record(l *zerolog.Logger, n ident.EndpointName, err error, at clock.Instant) {
	total := r.total.Add(1)
	if r.logged == nil || at.Sub(r.since) >= rejectionLogInterval {
		r.logged, r.since = ident.Set[ident.EndpointName]{}, at
	}
	if r.logged.Has(n) || len(r.logged) >= maxLoggedRejections {
		return
	}
	r.logged.Add(n)
	l.Warn().Err(err).Str("endpoint", string(n)).Uint64("rejected", total).Msg("feeds: cannot decode endpoint record")
}

// RejectedRecords returns how many records of endpoints this node could not decode.
func (f *Feeds) RejectedRecords() uint64 { return f.rejections.total.Load() }
