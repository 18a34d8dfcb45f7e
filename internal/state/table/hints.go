package table

import (
	"slices"
	"sync"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// hintShards is the number of shards, each with its own lock. maxShardEntries
	// is the maximum number of prefixes in a shard.
	hintShards      = 64
	maxShardEntries = 2048
	// maxHintEndpoints is the maximum number of endpoints kept for one prefix.
	maxHintEndpoints = 4
)

// Hints maps the digest of a prompt's prefix to the endpoints that probably
// cache it. A wrong hint only makes a request slower. The zero value is ready
// for use, and Hints is safe for concurrent use.
type Hints struct {
	shards [hintShards]hintShard
}

type hintShard struct {
	mu        sync.RWMutex
	endpoints map[uint64][]ident.EndpointName
}

func (h *Hints) shard(digest uint64) *hintShard { return &h.shards[digest%hintShards] }

// Add records that an endpoint caches a prefix.
func (h *Hints) Add(digest uint64, e ident.EndpointName) {
	s := h.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints == nil {
		s.endpoints = map[uint64][]ident.EndpointName{}
	}
	old := s.endpoints[digest]
	if slices.Contains(old, e) {
		return
	}
	if len(old) >= maxHintEndpoints {
		old = old[1:]
	}
	s.endpoints[digest] = append(slices.Clone(old), e)
	if len(s.endpoints) > maxShardEntries {
		s.evictAny(digest)
	}
}

// evictAny removes an arbitrary entry other than the one just added.
func (s *hintShard) evictAny(keep uint64) {
	for k := range s.endpoints {
		if k != keep {
			delete(s.endpoints, k)
			return
		}
	}
}

// Remove records that an endpoint no longer caches a prefix.
func (h *Hints) Remove(digest uint64, e ident.EndpointName) {
	s := h.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	left := slices.DeleteFunc(slices.Clone(s.endpoints[digest]), func(o ident.EndpointName) bool { return o == e })
	if len(left) == 0 {
		delete(s.endpoints, digest)
		return
	}
	s.endpoints[digest] = left
}

// Get returns the endpoints that probably cache a prefix; the list must not
// be changed.
func (h *Hints) Get(digest uint64) []ident.EndpointName {
	s := h.shard(digest)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.endpoints[digest]
}
