package gate

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// statedAvailability holds what endpoints state about whether they accept requests. It is
// safe for concurrent use.
type statedAvailability struct {
	// count is the number of statements.
	count atomic.Int64

	mu    sync.Mutex
	table avail.Table
}

// update calls f with the table.
func (a *statedAvailability) update(f func(*avail.Table)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(&a.table)
	a.count.Store(int64(a.table.Len()))
}

// accepts reports whether an endpoint accepts requests of a node as far as it has stated.
func (a *statedAvailability) accepts(e *topol.Endpoint, n ident.NodeName, now time.Time) bool {
	if a.count.Load() == 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Accepts(limitKey(e), n, now)
}

// accepting returns the endpoints that accept requests of a node as far as they have stated.
func (a *statedAvailability) accepting(es []*topol.Endpoint, n ident.NodeName, now time.Time) []*topol.Endpoint {
	if a.count.Load() == 0 {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), func(e *topol.Endpoint) bool { return !a.accepts(e, n, now) })
}

// maxRestingDivisor is the divisor of the number of endpoints for the largest number of
// them that are avoided because they want no requests of other nodes.
const maxRestingDivisor = 2

// restingForOthers returns those of some endpoints, all of which accept requests of this
// node, that want none of another node and would probably turn this one away too. It returns
// none if they are most of the endpoints.
func (a *statedAvailability) restingForOthers(es []*topol.Endpoint, now time.Time) ident.Set[ident.EndpointName] {
	if a.count.Load() == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	resting := ident.Set[ident.EndpointName]{}
	for _, e := range es {
		if a.table.RestsForAny(limitKey(e), now) {
			resting.Add(e.Name)
		}
	}
	if maxRestingDivisor*len(resting) > len(es) {
		return nil
	}
	return resting
}

// rests returns how long each of some endpoints, without those that are leaving, still wants
// no requests of a node.
func (a *statedAvailability) rests(es []*topol.Endpoint, n ident.NodeName, now time.Time) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rs []time.Duration
	for _, e := range es {
		if k := limitKey(e); !a.table.Leaves(k) {
			rs = append(rs, a.table.RestFor(k, n, now))
		}
	}
	return rs
}

// restsForThisNode reports whether one of some endpoints wants no requests of this node.
func (s *Server) restsForThisNode(es []*topol.Endpoint, now time.Time) bool {
	if s.availability.count.Load() == 0 {
		return false
	}
	rs := s.availability.rests(es, s.Node, now)
	return len(rs) > 0 && slices.Max(rs) > 0
}

// restForAllNodes returns the time until one of some endpoints accepts requests of this node or
// of a peer.
func (s *Server) restForAllNodes(es []*topol.Endpoint, now time.Time) time.Duration {
	rs := s.availability.rests(es, s.Node, now)
	for _, p := range s.Peers(now) {
		rs = append(rs, s.availability.rests(es, p.Name, now)...)
	}
	if len(rs) == 0 {
		return 0
	}
	return slices.Min(rs)
}

// observeAvailability records what the header of an endpoint's response states. asked is the
// node from which the request reached the endpoint, so that a rest binds it.
func (s *Server) observeAvailability(e *topol.Endpoint, asked ident.NodeName, h relay.ResponseHeader, now time.Time) {
	if h.Leaving {
		if st := (avail.State{Key: limitKey(e), Leaving: true}); s.recordLeaving(st) {
			s.AnnounceAvailability(st)
		}
	}
	if h.Rest > 0 {
		if r := (avail.Rest{Key: limitKey(e), Node: asked, Until: now.Add(h.Rest)}); s.recordRest(r, now) {
			s.AnnounceRest(r)
		}
	}
}

// recordLeaving records that an endpoint is leaving, and reports whether that is news.
func (s *Server) recordLeaving(st avail.State) (isNew bool) {
	s.availability.update(func(t *avail.Table) { isNew = t.Record(st) })
	if isNew {
		s.Logger.Info().Str("endpoint", string(st.Endpoint)).Msg("gate: endpoint states that it is leaving")
	}
	return isNew
}

// recordRest records that an endpoint wants no requests of a node, and reports whether that
// is news.
func (s *Server) recordRest(r avail.Rest, now time.Time) (isNew bool) {
	s.availability.update(func(t *avail.Table) { isNew = t.RecordRest(r, now) })
	if isNew {
		s.Logger.Info().Str("endpoint", string(r.Endpoint)).Str("asked", string(r.Node)).Time("restUntil", r.Until).Msg("gate: endpoint wants no requests of a node")
	}
	return isNew
}

// AddPeerAvailability records which endpoints told a peer that they are leaving.
func (s *Server) AddPeerAvailability(ss []avail.State) {
	for _, st := range ss {
		s.recordLeaving(st)
	}
}

// AddPeerRests records the rests that a peer knows.
func (s *Server) AddPeerRests(rs []avail.Rest) {
	for _, r := range rs {
		s.recordRest(r, time.Now())
	}
}

// Availability returns which endpoints are leaving, for a new peer.
func (s *Server) Availability() (ss []avail.State) {
	s.availability.update(func(t *avail.Table) { ss = t.States() })
	return ss
}

// Rests returns the rests of all nodes, for a new peer.
func (s *Server) Rests() (rs []avail.Rest) {
	s.availability.update(func(t *avail.Table) { rs = t.Rests() })
	return rs
}

// recordListedLeaving records the endpoints that are leaving by the list, so that it stays known
// if the source comes back as an older copy.
func (s *Server) recordListedLeaving(list *feeds.EndpointList) {
	for _, e := range list.ByName {
		if e.Leaving && e.Born != 0 {
			s.recordLeaving(avail.State{Key: limitKey(e), Leaving: true})
		}
	}
}

// expireAvailability drops what is over, or of endpoints that are gone.
func (s *Server) expireAvailability(now time.Time) {
	list := s.Feeds.Endpoints()
	if list == nil {
		return
	}
	s.recordListedLeaving(list)
	if s.availability.count.Load() == 0 {
		return
	}
	s.availability.update(func(t *avail.Table) {
		t.Expire(now, func(k quota.Key) bool {
			e := list.ByName[k.Endpoint]
			return e != nil && limitKey(e) == k
		})
	})
}
