package serve

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Strikes holds the strikes recorded by this node and received from the others.
// It is safe for concurrent use.
type Strikes struct {
	// Share sends new strikes to the other nodes.
	Share func([]strik.Strike)

	mu    sync.Mutex
	table *strik.Table
	// size is the number of requests with strikes; it is read without the
	// lock.
	size atomic.Int64
	// suspects holds, for each other node, its number of suspect requests at
	// each endpoint.
	suspects map[ident.NodeName]map[ident.EndpointName]int64
}

// NewStrikes returns an empty Strikes that passes new strikes to share.
func NewStrikes(share func([]strik.Strike)) *Strikes {
	return &Strikes{Share: share, table: strik.New(), suspects: map[ident.NodeName]map[ident.EndpointName]int64{}}
}

// Add counts a strike against a request that was in flight at an endpoint that
// died, and returns the request's strikes. onlySuspect is set if no other suspect
// request was in flight there.
func (s *Strikes) Add(d strik.Digest, e ident.EndpointName, onlySuspect bool) strik.Count {
	k := strik.Strike{Digest: d, Endpoint: e, At: time.Now(), Apart: onlySuspect}
	s.mu.Lock()
	isNew := s.table.Add(k)
	n := s.table.Count(d, k.At)
	s.size.Store(int64(s.table.Len()))
	s.mu.Unlock()
	if isNew {
		s.Share([]strik.Strike{k})
	}
	return n
}

// Merge adds the strikes received from another node.
func (s *Strikes) Merge(ks []strik.Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range ks {
		s.table.Add(k)
	}
	s.size.Store(int64(s.table.Len()))
}

// Clear removes the strikes of a request that succeeded.
func (s *Strikes) Clear(d strik.Digest) {
	if s.size.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Clear(d)
	s.size.Store(int64(s.table.Len()))
}

// Count returns the strikes of a request.
func (s *Strikes) Count(d strik.Digest) strik.Count {
	if s.size.Load() == 0 {
		return strik.Count{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(d, time.Now())
}

// Recent returns the strikes since a time, without expired ones.
func (s *Strikes) Recent(since time.Time) []strik.Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	s.size.Store(int64(s.table.Len()))
	return s.table.Recent(since)
}

// SetSuspects sets another node's number of suspect requests at each endpoint.
func (s *Strikes) SetSuspects(n ident.NodeName, m map[ident.EndpointName]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[n] = m
}

// Suspects returns how many suspect requests the other nodes run at each
// endpoint.
func (s *Strikes) Suspects() map[ident.EndpointName]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[ident.EndpointName]int64{}
	for _, m := range s.suspects {
		for e, n := range m {
			sum[e] += n
		}
	}
	return sum
}
