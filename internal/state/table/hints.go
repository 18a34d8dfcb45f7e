package table

import (
	"slices"
	"sync"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	hintShards   = 64
	shardEntries = 2048
	// hintEndpoints bounds the endpoints remembered for one prefix.
	hintEndpoints = 4
)

// Hints remembers which endpoints probably cache the start of a prompt. A
// wrong hint costs time only. The zero value is ready; it is safe for
// concurrent use.
type Hints struct {
	shards [hintShards]hintShard
}

type hintShard struct {
	mu sync.RWMutex
	m  map[uint64][]ident.EndpointName
}

func (h *Hints) shard(digest uint64) *hintShard { return &h.shards[digest%hintShards] }

// Add notes that an endpoint caches a prefix.
func (h *Hints) Add(digest uint64, e ident.EndpointName) {
	s := h.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[uint64][]ident.EndpointName{}
	}
	old := s.m[digest]
	if slices.Contains(old, e) {
		return
	}
	if len(old) >= hintEndpoints {
		old = old[1:]
	}
	s.m[digest] = append(slices.Clone(old), e)
	if len(s.m) > shardEntries {
		s.dropAny(digest)
	}
}

// dropAny drops some entry other than the one just added.
func (s *hintShard) dropAny(keep uint64) {
	for k := range s.m {
		if k != keep {
			delete(s.m, k)
			return
		}
	}
}

// Remove notes that an endpoint no longer caches a prefix.
func (h *Hints) Remove(digest uint64, e ident.EndpointName) {
	s := h.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	left := slices.DeleteFunc(slices.Clone(s.m[digest]), func(o ident.EndpointName) bool { return o == e })
	if len(left) == 0 {
		delete(s.m, digest)
		return
	}
	s.m[digest] = left
}

// Get returns the endpoints that probably cache a prefix; the list must not
// be changed.
func (h *Hints) Get(digest uint64) []ident.EndpointName {
	s := h.shard(digest)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.m[digest]
}
