package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

const (
	// maxSmallChange is the size in bytes up to which an encoded change is part of
	// the answer to a request for the state.
	maxSmallChange = 4 << 10
	// maxSmallRoutes is the number of routes up to which a complete configuration
	// may be small.
	maxSmallRoutes = 100
	// partBytes is the size of a part of an encoded change. Parts share the
	// connection with heartbeats and requests for the state, which wait for one
	// part at most.
	partBytes = 32 << 10
	// maxEncodedChanges is the number of encoded changes that are kept.
	maxEncodedChanges = 8
	// partWait is how long a request for a part waits until there is one.
	partWait = 200 * time.Millisecond
)

// changeStore keeps the encoded changes that were last made or received, because
// many nodes request the same. A change that is being received is passed on part by
// part.
type changeStore struct {
	feeds  *feeds.Feeds
	logger zerolog.Logger

	mu sync.Mutex
	// changes are sorted by their last use.
	changes []*encodedChange
	// received is closed when the next part is received; nil if nobody waits for
	// one.
	received chan struct{}
}

// encodedChange is the encoded change between two configurations.
type encodedChange struct {
	base, result topol.ID

	// once encodes the change, unless it is received from a peer.
	once sync.Once
	// changeStore.mu guards the following fields. data holds the first part of the
	// size bytes while the change is being received.
	hash uint64
	size int
	data []byte
}

// complete reports whether all bytes of the change are there. The caller holds
// changeStore.mu.
func (ec *encodedChange) complete() bool { return ec.size > 0 && len(ec.data) == ec.size }

// part returns the part from an offset on. The caller holds changeStore.mu.
func (ec *encodedChange) part(from int) relay.ChangePart {
	end := min(from+partBytes, len(ec.data))
	return relay.ChangePart{Base: ec.base, Result: ec.result, Hash: ec.hash, Size: ec.size, Data: ec.data[from:end]}
}

// encode returns the encoded change from a base to the configuration c. It is that
// from nothing if the base is not known.
func (s *changeStore) encode(base topol.ID, c *topol.Catalog) *encodedChange {
	old := s.feeds.RecentCatalog(base)
	ec := s.add(old.ID(), c.ID())
	ec.once.Do(func() {
		data, err := relay.EncodeChange(topol.Diff(old, c))
		if err != nil {
			s.logger.Error().Err(err).Uint64("version", uint64(c.Version)).Msg("sync: cannot encode a change of the configuration")
			return
		}
		hash := xxhash.Sum64(data)
		s.mu.Lock()
		defer s.mu.Unlock()
		ec.hash, ec.size, ec.data = hash, len(data), data
	})
	return ec
}

// add returns the change between two configurations that was encoded here or
// received completely. If there is none, it adds one that is to be encoded.
func (s *changeStore) add(base, result topol.ID) *encodedChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	ec := s.find(func(ec *encodedChange) bool {
		return ec.base == base && ec.result == result && (ec.size == 0 || ec.complete())
	})
	if ec == nil {
		ec = &encodedChange{base: base, result: result}
		s.keep(ec)
	}
	if ec.complete() {
		ec.once.Do(func() {})
	}
	return ec
}

// find returns the last kept change with a property and makes it the last one used,
// or returns nil. The caller holds s.mu.
func (s *changeStore) find(has func(*encodedChange) bool) *encodedChange {
	for i, ec := range slices.Backward(s.changes) {
		if has(ec) {
			s.changes = append(slices.Delete(s.changes, i, i+1), ec)
			return ec
		}
	}
	return nil
}

// keep adds a change and drops the one whose last use is the longest ago. The caller
// holds s.mu.
func (s *changeStore) keep(ec *encodedChange) {
	s.changes = append(s.changes, ec)
	s.changes = s.changes[max(0, len(s.changes)-maxEncodedChanges):]
}

// small returns the encoded change from a base to the configuration c if it is
// small, and otherwise nil. It does not encode a complete configuration with many
// routes to find that out.
func (s *changeStore) small(base topol.ID, c *topol.Catalog) []byte {
	if len(c.Routes) > maxSmallRoutes && s.feeds.RecentCatalog(base) == nil {
		return nil
	}
	ec := s.encode(base, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ec.data) > maxSmallChange {
		return nil
	}
	return ec.data
}

// serve returns the requested part of an encoded change. It waits at most partWait
// for it.
func (s *changeStore) serve(a relay.ChangeArgs) relay.ChangePart {
	timeout := time.NewTimer(partWait)
	defer timeout.Stop()
	for {
		updated, received := s.feeds.Updated(), s.nextPart()
		if p, ok := s.available(a); ok {
			return p
		}
		select {
		case <-updated:
		case <-received:
		case <-timeout.C:
			return relay.ChangePart{}
		}
	}
}

// nextPart returns a channel that is closed when the next part is received.
func (s *changeStore) nextPart() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = make(chan struct{})
	}
	return s.received
}

// available returns the requested part of an encoded change: of the one that the
// requesting node has begun to receive, or else of one that leads from its base to
// the wanted version or a newer one. It returns false if there is none yet.
func (s *changeStore) available(a relay.ChangeArgs) (relay.ChangePart, bool) {
	s.mu.Lock()
	ec := s.find(func(ec *encodedChange) bool { return ec.hash == a.Hash && a.Offset >= 0 && a.Offset < len(ec.data) })
	if ec != nil {
		defer s.mu.Unlock()
		return ec.part(a.Offset), true
	}
	c := s.feeds.Catalog()
	if c == nil || c.Version < a.Wanted {
		defer s.mu.Unlock()
		ec = s.find(func(ec *encodedChange) bool {
			return ec.base == a.Base && ec.result.Version >= a.Wanted && ec.hash != a.Hash && len(ec.data) > 0
		})
		if ec == nil {
			return relay.ChangePart{}, false
		}
		return ec.part(0), true
	}
	s.mu.Unlock()
	ec = s.encode(a.Base, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ec.part(0), ec.size > 0
}

// receive adds a part that a peer sent to the change that it belongs to, and returns
// the change. The part must be the next one of the change.
func (s *changeStore) receive(ec *encodedChange, p relay.ChangePart) *encodedChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ec == nil || ec.hash != p.Hash {
		s.drop(ec)
		ec = &encodedChange{base: p.Base, result: p.Result, hash: p.Hash, size: p.Size}
		s.keep(ec)
	}
	ec.data = append(ec.data, p.Data...)
	if s.received != nil {
		close(s.received)
		s.received = nil
	}
	return ec
}

// abandon drops a change whose transfer failed.
func (s *changeStore) abandon(ec *encodedChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(ec)
}

// drop drops a change. The caller holds s.mu.
func (s *changeStore) drop(ec *encodedChange) {
	s.changes = slices.DeleteFunc(s.changes, func(o *encodedChange) bool { return o == ec })
}
