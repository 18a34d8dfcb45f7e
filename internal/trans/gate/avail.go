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
)

// statedAvailability holds what endpoints state about whether they accept requests. It is
// safe for concurrent use.
type statedAvailability struct {
	// count is the number of endpoints that stated something.
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

// check reports whether an endpoint accepts requests as far as it has stated, and if it
// rests, how long.
func (a *statedAvailability) check(e *topol.Endpoint, now time.Time) (ok bool, rest time.Duration) {
	if a.count.Load() == 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Check(limitKey(e), now)
}

// accepting returns the endpoints that accept requests as far as they have stated.
func (a *statedAvailability) accepting(es []*topol.Endpoint, now time.Time) []*topol.Endpoint {
	if a.count.Load() == 0 {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), func(e *topol.Endpoint) bool {
		ok, _ := a.check(e, now)
		return !ok
	})
}

// shortestRest returns the time until the first of some endpoints that rest accepts requests
// again, and whether there is any.
func (a *statedAvailability) shortestRest(es []*topol.Endpoint, now time.Time) (shortest time.Duration, any bool) {
	for _, e := range es {
		if _, rest := a.check(e, now); rest > 0 && (!any || rest < shortest) {
			shortest, any = rest, true
		}
	}
	return shortest, any
}

// observeAvailability records what the header of an endpoint's response states.
func (s *Server) observeAvailability(e *topol.Endpoint, h relay.ResponseHeader, now time.Time) {
	if !h.Leaving && h.Rest == 0 {
		return
	}
	st := avail.State{Key: limitKey(e), Leaving: h.Leaving}
	if h.Rest > 0 {
		st.RestUntil = now.Add(h.Rest)
	}
	if s.recordAvailability(st, now) {
		s.AnnounceAvailability(st)
	}
}

// recordAvailability records what an endpoint stated, and reports whether that is news.
func (s *Server) recordAvailability(st avail.State, now time.Time) (isNew bool) {
	s.availability.update(func(t *avail.Table) { isNew = t.Record(st, now) })
	if isNew {
		s.Logger.Info().Str("endpoint", string(st.Endpoint)).Bool("leaving", st.Leaving).Time("restUntil", st.RestUntil).Msg("gate: endpoint states that it wants no requests")
	}
	return isNew
}

// AddPeerAvailability records what endpoints stated to a peer.
func (s *Server) AddPeerAvailability(ss []avail.State) {
	for _, st := range ss {
		s.recordAvailability(st, time.Now())
	}
}

// Availability returns what endpoints stated, for a new peer.
func (s *Server) Availability() (ss []avail.State) {
	s.availability.update(func(t *avail.Table) { ss = t.States() })
	return ss
}

// expireAvailability drops what is over, or of endpoints that are gone.
func (s *Server) expireAvailability(now time.Time) {
	list := s.Feeds.Endpoints()
	if list == nil || s.availability.count.Load() == 0 {
		return
	}
	s.availability.update(func(t *avail.Table) {
		t.Expire(now, func(k quota.Key) bool {
			e := list.ByName[k.Endpoint]
			return e != nil && limitKey(e) == k
		})
	})
}
