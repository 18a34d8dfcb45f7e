package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// watchInterval is how often lost and silent links are looked for.
	watchInterval = 250 * time.Millisecond
	// silenceProbes is the number of endpoints that a node with silent links probes.
	silenceProbes = 3
)

// directLinks tracks whether this node's links to the endpoints work. It is safe for
// concurrent use.
type directLinks struct {
	// heardAt is when bytes last arrived over a link.
	heardAt clock.Moment
	// lostCount is the number of lost links, isolated is set if all are.
	lostCount atomic.Int64
	isolated  atomic.Bool

	mu    sync.Mutex
	links *reach.Links
	// waiting holds the attempts under way over links of this node.
	waiting map[*attempt]struct{}
}

// hear records that bytes arrived over a link.
func (d *directLinks) hear(now time.Time) { d.heardAt.Store(now) }

// update calls f with the state of the links.
func (d *directLinks) update(endpoints int, f func(*reach.Links)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links == nil {
		d.links = reach.New()
	}
	d.links.Hear(d.heardAt.Load())
	f(d.links)
	d.lostCount.Store(int64(d.links.Len()))
	d.isolated.Store(d.links.Isolated(endpoints))
}

// add registers an attempt over a link of this node.
func (d *directLinks) add(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[*attempt]struct{}{}
	}
	d.waiting[a] = struct{}{}
}

func (d *directLinks) remove(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, a)
}

// attempts returns the attempts under way over links of this node, oldest first.
func (d *directLinks) attempts() []*attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	as := make([]*attempt, 0, len(d.waiting))
	for a := range d.waiting {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return a.startedAt.Compare(b.startedAt) })
	return as
}

// pool returns the pool of links to an address.
func (s *Server) pool(address string) *links.Pool { return s.pools.Get(address, s.DialEndpoint) }

// Isolated reports whether this node has lost its links to the endpoints.
func (s *Server) Isolated() bool { return s.direct.isolated.Load() }

// endpointCount returns the number of known endpoints.
func (s *Server) endpointCount() int {
	if l := s.Feeds.Endpoints(); l != nil {
		return len(l.ByName)
	}
	return 0
}

// updateLinks calls f with the state of the links, and tells the peers if the node is
// isolated now or no longer is.
func (s *Server) updateLinks(f func(*reach.Links)) {
	before := s.Isolated()
	s.direct.update(s.endpointCount(), f)
	if after := s.Isolated(); after != before {
		s.Logger.Warn().Bool("isolated", after).Int64("lost", s.direct.lostCount.Load()).Msg("gate: reach of the endpoints has changed")
		s.AnnounceStatus()
	}
}

// sendsDirectly reports whether requests to an endpoint are sent over a link of this node
// first.
func (s *Server) sendsDirectly(e *topol.Endpoint) (direct bool) {
	if s.direct.lostCount.Load() == 0 {
		return true
	}
	s.updateLinks(func(l *reach.Links) { direct = l.Direct(e.Name, s.endpointCount()) })
	return direct
}

// loseLink records that a peer reaches an endpoint that this node doesn't reach.
func (s *Server) loseLink(e *topol.Endpoint) {
	isNew := false
	s.updateLinks(func(l *reach.Links) { isNew = l.Lose(e.Name, time.Now()) })
	if isNew {
		s.pool(e.Address).CloseIdle()
		s.requestLog(false).Str("endpoint", string(e.Name)).Msg("gate: link to an endpoint is lost, a peer reaches it")
	}
}

// restoreLink records that bytes arrived over a link of this node to an endpoint.
func (s *Server) restoreLink(e *topol.Endpoint) {
	if s.direct.lostCount.Load() > 0 {
		s.updateLinks(func(r *reach.Links) { r.Restore(e.Name, s.endpointCount(), time.Now()) })
	}
	s.direct.hear(time.Now())
}

// watchLinks checks lost and silent links until the context ends.
func (s *Server) watchLinks(ctx context.Context) {
	delay.Every(ctx, watchInterval, func(now time.Time) {
		if s.direct.lostCount.Load() > 0 {
			s.checkLostLinks(ctx, now)
		}
		s.checkSilence(ctx, now)
	})
}

// checkLostLinks probes the lost links that are due. Those to evacuated endpoints, which are not
// probed, are forgotten, or the node might count as isolated until the evacuation ends.
func (s *Server) checkLostLinks(ctx context.Context, now time.Time) {
	list := s.Feeds.Endpoints()
	if list == nil {
		return
	}
	var due []ident.EndpointName
	s.updateLinks(func(l *reach.Links) {
		due = l.DueChecks(now, func(n ident.EndpointName) bool { return list.ByName[n] != nil })
		for _, n := range due {
			if s.isEvacuated(list.ByName[n]) {
				l.Forget(n)
			}
		}
	})
	for _, n := range due {
		if e := list.ByName[n]; s.mayProbe(e) && !s.isEvacuated(e) {
			go s.probeDirectly(ctx, e)
		}
	}
}

// checkSilence starts a check whether the node is isolated if requests wait and no link
// shows a sign of life.
func (s *Server) checkSilence(ctx context.Context, now time.Time) {
	waiting := s.direct.attempts()
	if len(waiting) == 0 {
		return
	}
	started := false
	s.updateLinks(func(l *reach.Links) { started = l.StartSilenceCheck(waiting[0].startedAt, now) })
	if started {
		go s.checkIsolation(ctx, s.probedEndpoints(waiting))
	}
}

// probedEndpoints returns some endpoints: those that requests wait for, and others if they
// are too few.
func (s *Server) probedEndpoints(waiting []*attempt) []*topol.Endpoint {
	var es []*topol.Endpoint
	add := func(e *topol.Endpoint) {
		if len(es) < silenceProbes && !slices.ContainsFunc(es, func(o *topol.Endpoint) bool { return o.Name == e.Name }) {
			es = append(es, e)
		}
	}
	for _, a := range waiting {
		add(a.choice.Primary)
	}
	for _, e := range s.Feeds.Endpoints().ByName {
		if s.isEvacuated(e) {
			continue
		}
		add(e)
	}
	return es
}

// checkIsolation probes endpoints. If only peers reach them, the requests that wait on
// links of this node are sent again.
func (s *Server) checkIsolation(ctx context.Context, es []*topol.Endpoint) {
	var wg sync.WaitGroup
	for _, e := range es {
		wg.Go(func() { s.diagnose(ctx, e) })
	}
	wg.Wait()
	if s.Isolated() {
		s.direct.abandonAll()
	}
}

// abandonAll records that the links of all attempts over links of this node are lost. Their
// requests are sent to other endpoints as well, if they may run there; the attempts go on
// until those have answered.
func (d *directLinks) abandonAll() {
	// The lock keeps attempts from ending, and their links from being reused, meanwhile.
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.waiting {
		a.abandon()
	}
}

// abandon records that the link of an attempt is lost.
func (a *attempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.linkLost, a.wantsOther = true, true
	a.link.SetReadDeadline(conns.Expired)
}
