package edge

import (
	"slices"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

// freshStreams tells of which streams a peer has a fresh copy.
type freshStreams [feeds.Members]bool

func (f freshStreams) all() bool { return !slices.Contains(f[:], false) }

// freshness holds, for the configuration and for the endpoints, when the request was
// sent that was answered with a fresh copy; zero if there was no such answer.
type freshness [feeds.Members]clock.Instant

// add records the answer to a request that was sent at the given time.
func (f *freshness) add(fresh freshStreams, sentAt clock.Instant) {
	for i, is := range fresh {
		if is && f[i] == 0 {
			f[i] = sentAt
		}
	}
}

// all reports whether there are fresh copies of all streams.
func (f *freshness) all() bool { return !slices.Contains(f[:], 0) }
