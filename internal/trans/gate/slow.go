package gate

import (
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// whyLoadUnknown is the reason of slow start at a node that starts and knows of no requests.
const whyLoadUnknown = "load unknown"

// beginSlowStart begins slow start of endpoints of a service. The caller holds s.pacing.mu.
func (s *Server) beginSlowStart(service *topol.Service, es []*topol.Endpoint, why string, now time.Time) {
	p := &s.pacing
	var begun []*topol.Endpoint
	most := 0
	for _, e := range es {
		slots := slotsOf(service, e)
		first := pace.FirstBound(slots)
		if why == whyLoadUnknown {
			first = pace.UnknownFirst
		}
		if e.Leaving || !p.slow.Begin(pace.Key(e), slots, first, pace.SlowTime(service.ColdStart), now) {
			continue
		}
		begun = append(begun, e)
		bound, _ := p.slow.Bound(pace.Key(e), now)
		most = max(most, bound)
	}
	p.slowCount.Store(int64(p.slow.Len()))
	if len(begun) > 0 {
		logEndpoints(s.Logger.Info(), begun).Str("service", string(service.Name)).Int("bound", most).Str("why", why).Msg("gate: endpoints begin slow start")
	}
}

// slotsOf returns the number of requests that an endpoint runs at once.
func slotsOf(service *topol.Service, e *topol.Endpoint) int {
	if service.Engine != nil {
		return min(e.Slots, service.Engine.Slots)
	}
	return e.Slots
}

// recordFailure records a failure of an endpoint, and reports whether it is newly avoided. If so,
// it begins slow start, which lasts beyond the time for which it is avoided.
func (s *Server) recordFailure(n ident.EndpointName, now time.Time) bool {
	isNew := s.endpointHealth.recordFailure(n, now)
	if !isNew || !s.pacing.isUsed.Load() {
		return isNew
	}
	e, service := s.listed(n)
	if service != nil && service.ColdStart > 0 {
		s.pacing.mu.Lock()
		defer s.pacing.mu.Unlock()
		s.beginSlowStart(service, []*topol.Endpoint{e}, "failure", now)
	}
	return isNew
}

// listed returns an endpoint and its service; the service is nil if either is unknown.
func (s *Server) listed(n ident.EndpointName) (*topol.Endpoint, *topol.Service) {
	list, catalog := s.Feeds.Endpoints(), s.Feeds.Catalog()
	if list == nil || catalog == nil || list.ByName[n] == nil {
		return nil, nil
	}
	return list.ByName[n], catalog.Services[list.ByName[n].Service]
}

// boundSlow sets the bounds on the requests at endpoints in slow start.
func (x *exchange) boundSlow(st *place.ServiceState) {
	x.ignoresSlowStart = false
	p := &x.server.pacing
	if p.slowCount.Load() == 0 {
		return
	}
	inFlight := map[ident.EndpointName]int{}
	for _, w := range st.InFlight {
		inFlight[w.First]++
	}
	bounds, others := map[ident.EndpointName]int{}, ident.Set[ident.EndpointName]{}
	p.mu.Lock()
	defer p.mu.Unlock()
	x.server.updateView(st.Now)
	for _, e := range st.Endpoints {
		k := pace.Key(e)
		bound, isSlow := p.slow.Bound(k, st.Now)
		if !isSlow {
			continue
		}
		bounds[e.Name] = bound
		if !p.slow.MaySend(k, inFlight[e.Name], &p.view, st.Now) {
			others.Add(e.Name)
		}
	}
	st.MaxInFlight = func(n ident.EndpointName) int { return bounds[n] }
	st.IsOthers = others.Has
	st.IsSlow = func(n ident.EndpointName) bool { return bounds[n] > 0 }
}

// chooseFrom places the request. If it can't be placed within the bounds of slow start, it is
// placed without them: they must not cause a rejection.
func (x *exchange) chooseFrom(st place.ServiceState, r place.Request) (place.Choice, error) {
	c, err := place.Choose(st, r)
	if err == nil || st.MaxInFlight == nil {
		return c, err
	}
	st.MaxInFlight, st.IsOthers = nil, nil
	x.ignoresSlowStart = true
	return place.Choose(st, r)
}

// takeSlow reports whether a request may be sent to an endpoint now as far as it is in slow start.
// The turn that it returns, if any, is given back by releaseSlow.
func (x *exchange) takeSlow(e *topol.Endpoint, now time.Time) (*pace.Turn, bool) {
	p := &x.server.pacing
	if p.slowCount.Load() == 0 {
		return nil, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x.server.updateView(now)
	return p.slow.Take(pace.Key(e), &p.view, x.ignoresSlowStart, now)
}

// releaseSlow gives back a turn; it may be nil.
func (s *Server) releaseSlow(t *pace.Turn) {
	if t == nil {
		return
	}
	s.pacing.mu.Lock()
	defer s.pacing.mu.Unlock()
	s.pacing.slow.Release(t)
}

// releaseTurn gives back the attempt's turn, if it has one. It is called before the end of the
// answer is written, since the caller's next request may follow that at once.
func (a *attempt) releaseTurn() {
	a.server.releaseSlow(a.slowTurn)
	a.slowTurn = nil
}

// observeMark records the first event of a request of this node or a peer.
func (s *Server) observeMark(w works.Request) {
	s.updateSlow(w.First, func(t *pace.Slow, e *topol.Endpoint, now time.Time) pace.Result {
		return t.Answered(pace.Key(e), s.answerOf(w), now)
	})
}

// observeEnd records the end of a request of a peer without a first event. What became of this
// node's own requests is known better, see observeOutcome.
func (s *Server) observeEnd(w works.Request) {
	if w.Writing || w.Node == s.Node {
		return
	}
	s.updateSlow(w.First, func(t *pace.Slow, e *topol.Endpoint, now time.Time) pace.Result {
		if w.Prompt > 0 {
			return t.Failed(pace.Key(e), w.Since, now)
		}
		return t.Unanswered(pace.Key(e), s.answerOf(w), now)
	})
}

func (s *Server) answerOf(w works.Request) pace.Answer {
	return pace.Answer{SentAt: w.Since, Target: w.Target, IsOfPeer: w.Node != s.Node}
}

// observeOutcome records that an attempt had no answer that shows that the endpoint keeps up.
func (s *Server) observeOutcome(a *attempt) {
	switch a.outcome.result {
	case refused, unanswered, unusable, superseded:
	case failed:
		if a.service.Engine == nil && !isOverload(a.outcome.status) {
			return
		}
	default:
		return
	}
	s.updateSlow(a.choice.Primary.Name, func(t *pace.Slow, e *topol.Endpoint, now time.Time) pace.Result {
		return t.Failed(pace.Key(e), a.startedAt, now)
	})
}

// isOverload reports whether a status is one that servers send which can't keep up. Other errors of
// a plain service may be due to the request.
func isOverload(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// updateSlow calls f if an endpoint may be in slow start, and logs what changes.
func (s *Server) updateSlow(n ident.EndpointName, f func(*pace.Slow, *topol.Endpoint, time.Time) pace.Result) {
	p := &s.pacing
	if p.slowCount.Load() == 0 {
		return
	}
	e, _ := s.listed(n)
	if e == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch f(&p.slow, e, now) {
	case pace.Lowered:
		bound, _ := p.slow.Bound(pace.Key(e), now)
		s.requestLog(false).Str("endpoint", string(n)).Int("bound", bound).Msg("gate: bound of an endpoint in slow start was halved")
	case pace.Ended:
		p.slowCount.Store(int64(p.slow.Len()))
		s.requestLog(false).Str("endpoint", string(n)).Str("why", "all slots").Msg("gate: slow start of an endpoint has ended")
	}
}

// markAnswered tells the peers that a request without events was answered, if its endpoint is in
// slow start. Of other endpoints they need to know the end alone.
func (a *attempt) markAnswered() {
	p := &a.server.pacing
	if p.slowCount.Load() == 0 {
		return
	}
	p.mu.Lock()
	_, isSlow := p.slow.Bound(pace.Key(a.choice.Primary), time.Now())
	p.mu.Unlock()
	if isSlow {
		a.server.InFlight.MarkDecoding(a.server.Node, a.inFlightID)
		a.server.AnnounceDecoding(a.inFlightID)
	}
}

// slowBounds returns the sum of the bounds of the endpoints in slow start.
func (s *Server) slowBounds() int {
	s.pacing.mu.Lock()
	defer s.pacing.mu.Unlock()
	return s.pacing.slow.Bounds()
}
