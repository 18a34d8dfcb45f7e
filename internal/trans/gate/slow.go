package gate

import (
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// whyNoRequestsKnown is the reason of slow start at a node that starts and knows of no requests.
const whyNoRequestsKnown = "load unknown"

// loadUnknownTime is how long a node that starts waits for what peers tell of earlier requests.
const loadUnknownTime = 3 * time.Second

// beginSlowStart begins slow start of endpoints of a service. The caller holds s.pacing.mu.
func (s *Server) beginSlowStart(service *topol.Service, es []*topol.Endpoint, why string, now time.Time) {
	s.beginSlowStartAt(service, es, nil, why, now)
}

// beginSlowStartAt is like beginSlowStart for endpoints that run requests: the first bound is at
// least their number.
func (s *Server) beginSlowStartAt(service *topol.Service, es []*topol.Endpoint, running map[ident.EndpointName]int, why string, now time.Time) {
	p := &s.pacing
	var begun []*topol.Endpoint
	most := 0
	for _, e := range es {
		slots := slotsOf(service, e)
		first := max(pace.FirstBound(slots), running[e.Name])
		if why == whyNoRequestsKnown {
			first = pace.UnknownFirst
		}
		isNew := !e.Leaving && p.slow.Begin(pace.Key(e), slots, first, pace.SlowTime(service.ColdStart), now)
		p.markLoadUnknown(pace.Key(e), isNew && why == whyNoRequestsKnown)
		if !isNew {
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

// markLoadUnknown records whether an endpoint is in slow start only since its load was unknown.
func (p *pacing) markLoadUnknown(k quota.Key, isUnknown bool) {
	if !isUnknown {
		delete(p.loadUnknown, k)
		return
	}
	if p.loadUnknown == nil {
		p.loadUnknown = map[quota.Key]struct{}{}
	}
	p.loadUnknown[k] = struct{}{}
}

// endLoadUnknown ends slow start that began since this node knew of no requests, once a peer tells of
// one from clearly before the start: then the others did not start at the same time, and tell of
// all requests that run. The caller holds s.pacing.mu.
func (s *Server) endLoadUnknown(now time.Time) {
	p := &s.pacing
	if len(p.loadUnknown) == 0 {
		return
	}
	if now.Sub(p.loadUnknownSince) > loadUnknownTime {
		p.loadUnknown = nil
		return
	}
	if !s.InFlight.KnowsOlder(p.loadUnknownSince.Add(-startSpread)) {
		return
	}
	for k := range p.loadUnknown {
		p.slow.End(k)
	}
	s.Logger.Info().Int("count", len(p.loadUnknown)).Str("why", "load known").Msg("gate: slow start of endpoints has ended")
	p.loadUnknown = nil
	p.slowCount.Store(int64(p.slow.Len()))
}

// slotsOf returns the number of requests that an endpoint runs at once.
func slotsOf(service *topol.Service, e *topol.Endpoint) int {
	if service.Engine != nil {
		return min(e.Slots, service.Engine.Slots)
	}
	return e.Slots
}

// recordLost records that an endpoint could not be reached, or was silent, and reports whether it
// is newly avoided. Slow start begins when it is no longer avoided. After other failures it does not:
// an endpoint that answers with an error, or breaks one connection, has not started anew.
func (s *Server) recordLost(n ident.EndpointName, now time.Time) bool {
	isNew := s.endpointHealth.recordFailure(n, now)
	p := &s.pacing
	if !p.isUsed.Load() {
		return isNew
	}
	if e, service := s.listed(n); service != nil && service.ColdStart > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lost.Record(pace.Key(e), now)
		p.lostCount.Store(int64(p.lost.Len()))
	}
	return isNew
}

// updateLost calls f if an endpoint may be lost.
func (s *Server) updateLost(n ident.EndpointName, f func(*pace.Lost, quota.Key)) {
	p := &s.pacing
	if p.lostCount.Load() == 0 {
		return
	}
	if e, _ := s.listed(n); e != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		f(&p.lost, pace.Key(e))
		p.lostCount.Store(int64(p.lost.Len()))
	}
}

// clearLost records that an endpoint that counts as lost has run all the time.
func (s *Server) clearLost(n ident.EndpointName) { s.updateLost(n, (*pace.Lost).Clear) }

// beginAfterLoss begins slow start of the endpoints that were lost and are used again. Requests that
// still run there were probably not lost, and a bound below them would keep the endpoint idle until
// most of them have ended. The caller holds s.pacing.mu.
func (x *exchange) beginAfterLoss(st *place.ServiceState, running map[ident.EndpointName]int) {
	p := &x.server.pacing
	if p.lost.Len() == 0 || x.service.ColdStart <= 0 {
		return
	}
	var back []*topol.Endpoint
	for _, e := range st.Endpoints {
		if !st.Avoid(e.Name) && p.lost.Return(pace.Key(e), st.Now) {
			back = append(back, e)
		}
	}
	p.lostCount.Store(int64(p.lost.Len()))
	x.server.beginSlowStartAt(x.service, back, running, "lost", st.Now)
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
	p := &x.server.pacing
	if p.slowCount.Load()+p.lostCount.Load() == 0 {
		return
	}
	inFlight := map[ident.EndpointName]int{}
	for _, w := range st.InFlight {
		inFlight[w.First]++
	}
	bounds, others := map[ident.EndpointName]int{}, ident.Set[ident.EndpointName]{}
	p.mu.Lock()
	defer p.mu.Unlock()
	x.server.endLoadUnknown(st.Now)
	x.beginAfterLoss(st, inFlight)
	if p.slow.Len() == 0 {
		return
	}
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
	st.IsForOthers = others.Has
	st.IsSlow = func(n ident.EndpointName) bool { return bounds[n] > 0 }
}

// chooseFrom places the request within the bounds of slow start, or without them if they would
// cause a rejection or a late answer.
func (x *exchange) chooseFrom(st place.ServiceState, r place.Request) (c place.Choice, err error) {
	c, x.ignoresSlowStart, err = place.ChooseWithinBounds(st, r)
	return c, err
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
	s.updateLost(w.First, func(l *pace.Lost, k quota.Key) { l.Observe(k, w.Since, time.Now()) })
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
