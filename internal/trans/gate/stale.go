package gate

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/stale"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// staleRecords holds what answers show about the records of endpoints. It is safe for
// concurrent use.
type staleRecords struct {
	// count is the number of entries in the table, groups that of the groups that are avoided.
	count, groups atomic.Int64
	// clock replaces clock.Now in tests.
	clock func() clock.Instant

	mu    sync.Mutex
	table stale.Table
}

// now returns the present time.
func (r *staleRecords) now() clock.Instant {
	if r.clock != nil {
		return r.clock()
	}
	return clock.Now()
}

// updateStale calls f with the table, and logs what changes.
func (s *Server) updateStale(f func(*stale.Table) []stale.Change) {
	r := &s.staleRecords
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := f(&r.table)
	r.count.Store(int64(r.table.Len()))
	r.groups.Store(int64(r.table.AvoidedGroups()))
	for _, c := range changes {
		s.Logger.Warn().Str("dataCentre", string(c.DataCentre)).Str("service", string(c.Service)).Bool("avoided", c.Avoided).
			Str("why", string(c.Reason)).Dur("listAge", r.now().Sub(s.Feeds.EndpointsConfirmedAt())).Msg("gate: trust in the records of a data centre has changed")
	}
}

// observeIdentity records whether the endpoint that answered the request is the one that its
// record names.
func (a *attempt) observeIdentity(status int) {
	s, e := a.server, a.choice.Primary
	if status != http.StatusMisdirectedRequest {
		if s.staleRecords.count.Load() > 0 {
			s.updateStale(func(t *stale.Table) []stale.Change { return t.Answer(e, a.sentAt) })
		}
		return
	}
	s.recordMisdirection(e, a.reqHeader.ID, a.sentAt)
}

// recordMisdirection records an answer 421 of an endpoint to a request or a reservation that was
// sent at the given time.
func (s *Server) recordMisdirection(e *topol.Endpoint, id string, sent clock.Instant) {
	s.getMetrics().misdirected.WithLabelValues(string(e.DataCentre)).Inc()
	isNew := false
	s.updateStale(func(t *stale.Table) (changes []stale.Change) {
		isNew, changes = t.Misdirect(e, sent, s.staleRecords.now())
		return changes
	})
	if isNew {
		s.requestLog(false).Str("request", id).Str("endpoint", string(e.Name)).Str("address", e.Address).
			Str("dataCentre", string(e.DataCentre)).Msg("gate: another endpoint has the address of a record")
		if s.RequestEndpoints != nil {
			s.RequestEndpoints()
		}
	}
}

// recordDoubts records what an attempt that has ended shows about the records of endpoints.
func (x *exchange) recordDoubts(a *attempt) {
	e := a.choice.Primary
	isUnreached := a.outcome.result == notSent && a.link == nil
	if isUnreached || a.outcome.isMisdirected() {
		x.avoidDataCentre(e.DataCentre, a.sentAt)
	}
	if isUnreached {
		x.server.updateStale(func(t *stale.Table) []stale.Change { return t.Fail(e, a.sentAt, x.server.staleRecords.now()) })
	}
	for _, h := range a.choice.Helpers {
		if errors.Is(a.outcome.unreservedEngines[h.Name], ErrMisdirected) {
			x.avoidDataCentre(h.DataCentre, a.sentAt)
		}
	}
}

// avoidDataCentre makes the request go to no further endpoint of a data centre until a later list of
// endpoints is in force, if it can be placed elsewhere.
func (x *exchange) avoidDataCentre(n ident.DataCentre, sent clock.Instant) {
	if x.doubtedAt == nil {
		x.doubtedAt = map[ident.DataCentre]clock.Instant{}
	}
	x.doubtedAt[n] = max(x.doubtedAt[n], sent)
}

// isMisdirected reports whether an endpoint answered that the request was meant for another
// one.
func (o *outcome) isMisdirected() bool {
	return o.result == refused && o.status == http.StatusMisdirectedRequest
}

// doubtful returns the endpoints in data centres where an endpoint answered the request, or a
// reservation for it, with 421 or was not reached, as long as the list of endpoints is older than that send. The caller
// may modify the set.
func (x *exchange) doubtful(es []*topol.Endpoint) ident.Set[ident.EndpointName] {
	if len(x.doubtedAt) == 0 {
		return nil
	}
	confirmed := x.server.recordsConfirmedAt(x.server.staleRecords.now())
	found := ident.Set[ident.EndpointName]{}
	for _, e := range es {
		if sent, ok := x.doubtedAt[e.DataCentre]; ok && confirmed <= sent {
			found.Add(e.Name)
		}
	}
	return found
}

// staleAmong returns those of some endpoints that are avoided because their records may be out
// of date. If those are all of them, it returns only the ones that are known to be others: the
// doubt about a whole data centre then tells nothing about where to send.
func (s *Server) staleAmong(es []*topol.Endpoint) ident.Set[ident.EndpointName] {
	if s.staleRecords.count.Load() == 0 {
		return nil
	}
	s.refreshStale()
	list := s.Feeds.Endpoints()
	doubtful, misdirected := ident.Set[ident.EndpointName]{}, ident.Set[ident.EndpointName]{}
	isAnyTrusted := false
	r := &s.staleRecords
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range es {
		if r.table.IsMisdirected(e) {
			misdirected.Add(e.Name)
		}
		switch {
		case r.table.Avoids(e, isSuperseded(list, e)):
			doubtful.Add(e.Name)
		case !e.Leaving:
			isAnyTrusted = true
		}
	}
	if isAnyTrusted {
		return doubtful
	}
	return misdirected
}

// isSuperseded reports whether the record of a later start has the address of an endpoint.
func isSuperseded(l *feeds.EndpointList, e *topol.Endpoint) bool {
	other := l.ByAddress[e.Address]
	return other != nil && other.Name != e.Name && other.Born > e.Born
}

// recordsConfirmedAt returns when all records of the list of endpoints were last confirmed to be
// the newest; zero during a grace period, in which the list may contain endpoints whose records
// are gone.
func (s *Server) recordsConfirmedAt(now clock.Instant) clock.Instant {
	if !s.Feeds.OutsideGracePeriod(now) {
		return 0
	}
	return s.Feeds.EndpointsConfirmedAt()
}

// refreshStale ends avoidances that are over.
func (s *Server) refreshStale() {
	if s.staleRecords.count.Load() == 0 {
		return
	}
	now := s.staleRecords.now()
	confirmed := s.recordsConfirmedAt(now)
	s.updateStale(func(t *stale.Table) []stale.Change { return t.Refresh(confirmed, now) })
}
