package gate

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// errCold means that endpoints which could serve the request are cold and get no
	// further request of this node now.
	errCold = errors.ConstError("endpoints are cold and get no further requests now")
	// errLapsed means that a request to a cold endpoint was not written in time.
	errLapsed = errors.ConstError("the turn at a cold endpoint has lapsed")
)

// maxNamesLogged bounds the endpoints that one log line names.
const maxNamesLogged = 8

// pacing holds the endpoints that are cold or in slow start. It is safe for concurrent use.
type pacing struct {
	// coldCount is the number of cold endpoints, slowCount that of those in slow start, and
	// lostCount that of the lost ones. isUsed is set if the endpoints of a service may be cold.
	coldCount, slowCount, lostCount atomic.Int64
	isUsed                          atomic.Bool
	// list and catalog were observed last.
	list    atomic.Pointer[feeds.EndpointList]
	catalog atomic.Pointer[topol.Catalog]

	mu     sync.Mutex
	starts pace.Starts
	cold   pace.Cold
	slow   pace.Slow
	lost   pace.Lost
	// loadUnknown holds the endpoints in slow start only because this node knew of no requests
	// when it read the first list, at loadUnknownSince.
	loadUnknown      map[quota.Key]struct{}
	loadUnknownSince time.Time
	view             pace.View
	viewAt           time.Time
}

// updateView updates the view of the members if it is old. The caller holds s.pacing.mu.
func (s *Server) updateView(now time.Time) {
	p := &s.pacing
	if !p.viewAt.IsZero() && now.Sub(p.viewAt) <= nodesAge {
		return
	}
	p.viewAt = now
	m := pace.Members{Self: s.Node, Known: []ident.NodeName{s.Node}, Alive: 1, IsInformed: true}
	if s.Members != nil {
		m = s.Members(now)
	}
	was := p.view.IsSettled(now)
	p.view.Update(m, now)
	if is := p.view.IsSettled(now); is != was {
		s.Logger.Info().Bool("relied", is).Int("members", len(m.Known)).Int("alive", m.Alive).Msg("gate: view of the members has changed for the requests to cold endpoints")
	}
}

// coldRate returns the bound on the requests to a cold endpoint of a service.
func (s *Server) coldRate(service *topol.Service) pace.Rate {
	return pace.Rate{PerSecond: service.ColdRate, Overage: s.ColdOverage, Slack: s.ColdSlack}
}

// observeStarts compares the endpoints with those listed before, if the list or the
// configuration has changed.
func (s *Server) observeStarts(now time.Time) {
	p := &s.pacing
	list, catalog := s.Feeds.Endpoints(), s.Feeds.Catalog()
	if list == nil || catalog == nil || p.list.Load() == list && p.catalog.Load() == catalog {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list, catalog = s.Feeds.Endpoints(), s.Feeds.Catalog()
	// A node that starts and is told of no requests doesn't know the load of the endpoints.
	knowsNoRequests := p.list.Load() == nil && !s.Bootstrap && !s.InFlight.KnowsOthers()
	isSame := p.list.Load().ListID() == list.ListID() && p.catalog.Load() == catalog
	// Requests that see the new list as observed must also see what it tells.
	defer func() {
		p.list.Store(list)
		p.catalog.Store(catalog)
	}()
	if isSame {
		return
	}
	isUsed := false
	if knowsNoRequests {
		p.loadUnknownSince = now
	}
	for _, service := range catalog.Services {
		if service.ColdStart <= 0 {
			p.starts.Forget(service.Name)
			continue
		}
		isUsed = true
		s.applyStarts(service, p.starts.Observe(service.Name, list.ByService[service.Name], now), now)
		if knowsNoRequests {
			s.beginSlowStart(service, list.ByService[service.Name], whyNoRequestsKnown, now)
		}
	}
	p.isUsed.Store(isUsed)
	p.coldCount.Store(int64(p.cold.Len()))
}

// applyStarts applies what a new list tells of the endpoints of a service. The caller holds
// s.pacing.mu.
func (s *Server) applyStarts(service *topol.Service, cs []pace.Change, now time.Time) {
	p, rate := &s.pacing, s.coldRate(service)
	var stated, started, begun []*topol.Endpoint
	for _, c := range cs {
		k := pace.Key(c.Endpoint)
		if c.IsNew {
			begun = append(begun, c.Endpoint)
		}
		if c.States && p.cold.RecordStated(k, rate, c.Endpoint.Cold, now) {
			stated = append(stated, c.Endpoint)
		}
		if c.IsNew && !c.Endpoint.StatesCold && p.cold.Assume(k, rate, service.ColdStart, now) {
			started = append(started, c.Endpoint)
		}
	}
	s.logCold(service, stated, "record", now)
	s.logCold(service, started, "start", now)
	s.beginSlowStart(service, stated, "cold", now)
	s.beginSlowStart(service, begun, "start", now)
}

// logCold logs that endpoints have become cold. The caller holds s.pacing.mu.
func (s *Server) logCold(service *topol.Service, es []*topol.Endpoint, why string, now time.Time) {
	if len(es) == 0 {
		return
	}
	longest := time.Duration(0)
	for _, e := range es {
		longest = max(longest, s.pacing.cold.Left(pace.Key(e), now))
	}
	logEndpoints(s.Logger.Info(), es).Str("service", string(service.Name)).Dur("for", longest).Float64("perSecond", service.ColdRate).Str("why", why).Msg("gate: endpoints are cold")
}

// logEndpoints adds the number of endpoints and the names of the first ones to a log line.
func logEndpoints(l *zerolog.Event, es []*topol.Endpoint) *zerolog.Event {
	return l.Int("count", len(es)).Strs("endpoints", endpointNames(es[:min(len(es), maxNamesLogged)]))
}

// DataCentreReturned records that the evacuation of a data centre has been taken back: its
// endpoints count as cold from now on, whatever their records state, and begin slow start. It is
// called before requests are sent there again.
func (s *Server) DataCentreReturned(dc ident.DataCentre, now time.Time) {
	s.observeStarts(now)
	p := &s.pacing
	list, catalog := s.Feeds.Endpoints(), s.Feeds.Catalog()
	if list == nil || catalog == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range catalog.Services {
		if service.ColdStart <= 0 {
			continue
		}
		var es []*topol.Endpoint
		for _, e := range list.ByService[service.Name] {
			if e.DataCentre == dc {
				p.cold.Assume(pace.Key(e), s.coldRate(service), service.ColdStart, now)
				es = append(es, e)
			}
		}
		s.logCold(service, es, "data centre returned", now)
		s.beginSlowStart(service, es, "data centre returned", now)
	}
	p.coldCount.Store(int64(p.cold.Len()))
}

// observeCold records the time for which the header of an endpoint's response states that it
// remains cold.
func (s *Server) observeCold(e *topol.Endpoint, service *topol.Service, h relay.ResponseHeader, now time.Time) {
	p := &s.pacing
	if !h.StatesCold || service.ColdStart <= 0 || h.Cold == 0 && p.coldCount.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cold.RecordStated(pace.Key(e), s.coldRate(service), h.Cold, now) {
		s.logCold(service, []*topol.Endpoint{e}, "answer", now)
		s.beginSlowStart(service, []*topol.Endpoint{e}, "cold", now)
	}
	p.coldCount.Store(int64(p.cold.Len()))
}

// addCold adds the cold endpoints of a list to those that name limits, and to those at their
// limits if this node may send them nothing now.
func (s *Server) addCold(found *limitedEndpoints, es []*topol.Endpoint, now time.Time) {
	p := &s.pacing
	if p.coldCount.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateView(now)
	for _, e := range es {
		k := pace.Key(e)
		if e.Leaving || !p.cold.IsBounded(k, now) {
			continue
		}
		found.add(e.Name)
		wait, ok := p.cold.Wait(k, &p.view, now)
		if ok && wait == 0 {
			continue
		}
		found.exclude(e.Name, wait)
		if found.cold == nil {
			found.cold = ident.Set[ident.EndpointName]{}
		}
		found.cold.Add(e.Name)
	}
	if len(found.cold) > 0 {
		s.getMetrics().coldLeftOut.Inc()
	}
}

// takeCold reports whether a request may be sent to an endpoint now as far as it is cold, and if so
// counts it.
func (s *Server) takeCold(e *topol.Endpoint, now time.Time) bool {
	p := &s.pacing
	if p.coldCount.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateView(now)
	return p.cold.Take(pace.Key(e), &p.view, now)
}

// mayWriteCold reports whether a request that was taken by takeCold may be written now.
func (s *Server) mayWriteCold(e *topol.Endpoint, takenAt, now time.Time) bool {
	p := &s.pacing
	if p.coldCount.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.Sent(pace.Key(e), takenAt, now)
}

// abandonCold records that a request that was taken by takeCold is not written.
func (s *Server) abandonCold(e *topol.Endpoint) {
	p := &s.pacing
	if p.coldCount.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.Abandon(pace.Key(e))
}

// isBounded reports whether an endpoint is cold and tolerates few requests.
func (s *Server) isBounded(e *topol.Endpoint, now time.Time) bool {
	p := &s.pacing
	if p.coldCount.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.IsBounded(pace.Key(e), now)
}

// refreshPace drops what is known of endpoints that are gone, warm, or at the end of slow start.
func (s *Server) refreshPace(now time.Time) {
	s.observeStarts(now)
	p := &s.pacing
	if !p.isUsed.Load() && p.coldCount.Load()+p.slowCount.Load()+p.lostCount.Load() == 0 {
		return
	}
	list := s.Feeds.Endpoints()
	exists := func(k quota.Key) bool {
		e := list.ByName[k.Endpoint]
		return e != nil && pace.Key(e) == k
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateView(now)
	p.starts.Expire(now)
	s.logKeys(p.cold.Expire(now, exists), "gate: endpoints are no longer cold")
	s.logKeys(p.slow.Expire(now, exists), "gate: slow start of endpoints has ended by time")
	p.lost.Expire(now, exists)
	p.lostCount.Store(int64(p.lost.Len()))
	p.coldCount.Store(int64(p.cold.Len()))
	p.slowCount.Store(int64(p.slow.Len()))
}

// logKeys logs what has become of endpoints, unless there are none.
func (s *Server) logKeys(ks []quota.Key, message string) {
	if len(ks) == 0 {
		return
	}
	names := make([]string, len(ks))
	for i, k := range ks {
		names[i] = string(k.Endpoint)
	}
	slices.Sort(names)
	s.Logger.Info().Int("count", len(names)).Strs("endpoints", names[:min(len(names), maxNamesLogged)]).Msg(message)
}
