package edge

import (
	"context"
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
	// versionWait is how long a request for a part waits for the wanted version.
	versionWait = 200 * time.Millisecond
)

// changeEncoder encodes the changes that lead to the configuration in force, and
// keeps the last ones: many nodes request the same.
type changeEncoder struct {
	feeds  *feeds.Feeds
	logger zerolog.Logger

	mu sync.Mutex
	// changes are sorted by their last use.
	changes []*encodedChange
}

// encodedChange is the encoded change between two configurations.
type encodedChange struct {
	base, result topol.ID

	once sync.Once
	// data and hash are set by once, hash while changeEncoder.mu is held.
	data []byte
	hash uint64
}

// encode returns the encoded change from a base to the configuration c. It is that
// from nothing if the base is not known.
func (e *changeEncoder) encode(base topol.ID, c *topol.Catalog) *encodedChange {
	old := e.feeds.RecentCatalog(base)
	ec := e.find(func(ec *encodedChange) bool { return ec.base == old.ID() && ec.result == c.ID() })
	if ec == nil {
		ec = e.add(&encodedChange{base: old.ID(), result: c.ID()})
	}
	ec.once.Do(func() {
		data, err := relay.EncodeChange(topol.Diff(old, c))
		if err != nil {
			e.logger.Error().Err(err).Uint64("version", uint64(c.Version)).Msg("sync: cannot encode a change of the configuration")
			return
		}
		hash := xxhash.Sum64(data)
		e.mu.Lock()
		defer e.mu.Unlock()
		ec.data, ec.hash = data, hash
	})
	return ec
}

// find returns the kept change with a property and makes it the last one used, or
// returns nil.
func (e *changeEncoder) find(has func(*encodedChange) bool) *encodedChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.changes, has)
	if i < 0 {
		return nil
	}
	ec := e.changes[i]
	e.changes = append(slices.Delete(e.changes, i, i+1), ec)
	return ec
}

// add keeps a change and drops the one whose last use is the longest ago. If the
// change is kept already, it returns that one.
func (e *changeEncoder) add(ec *encodedChange) *encodedChange {
	if kept := e.find(func(o *encodedChange) bool { return o.base == ec.base && o.result == ec.result }); kept != nil {
		return kept
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes = append(e.changes, ec)
	e.changes = e.changes[max(0, len(e.changes)-maxEncodedChanges):]
	return ec
}

// small returns the encoded change from a base to the configuration c if it is
// small, and otherwise nil. It does not encode a complete configuration with many
// routes to find that out.
func (e *changeEncoder) small(base topol.ID, c *topol.Catalog) []byte {
	if len(c.Routes) > maxSmallRoutes && e.feeds.RecentCatalog(base) == nil {
		return nil
	}
	ec := e.encode(base, c)
	if len(ec.data) > maxSmallChange {
		return nil
	}
	return ec.data
}

// part returns a part of an encoded change, which is that whose first bytes the
// requesting node already has, or else leads to the configuration in force. It
// waits at most versionWait for the wanted version.
func (e *changeEncoder) part(a relay.ChangeArgs) relay.ChangePart {
	ec := e.find(func(ec *encodedChange) bool { return a.Hash != 0 && ec.hash == a.Hash })
	if ec == nil {
		if !e.feeds.WaitForVersion(context.Background(), a.Wanted, versionWait) {
			return relay.ChangePart{}
		}
		ec = e.encode(a.Base, e.feeds.Catalog())
	}
	from := 0
	if ec.hash == a.Hash {
		from = min(max(0, a.Offset), len(ec.data))
	}
	return relay.ChangePart{Hash: ec.hash, Size: len(ec.data), Data: ec.data[from:min(from+partBytes, len(ec.data))]}
}
