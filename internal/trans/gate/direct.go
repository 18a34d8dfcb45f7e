package gate

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// watchInterval is how often lost and silent links are looked for.
	watchInterval = 250 * time.Millisecond
	// hedgeDelay is how long a node tries to connect to an endpoint before it also tries
	// over a peer.
	hedgeDelay = 100 * time.Millisecond
	// peerConnectTimeout bounds the time in which a peer connects to an endpoint, and
	// tunnelTimeout the time to open a tunnel over one peer.
	peerConnectTimeout = 200 * time.Millisecond
	tunnelTimeout      = 300 * time.Millisecond
	// maxPeersTried bounds the peers over which one connection is tried.
	maxPeersTried = 3
	// silenceProbes is the number of endpoints to which a node with silent links tries
	// to connect.
	silenceProbes = 3
)

// Errors of connections to endpoints.
const (
	errNoPeer   = errors.ConstError("no peer to send over")
	errLinkLost = errors.ConstError("the link to the endpoint is lost")
)

// directLinks tracks whether this node's links to the endpoints work. It is safe for
// concurrent use.
type directLinks struct {
	// heardAt is the Unix time in nanoseconds at which bytes last arrived over a link.
	heardAt atomic.Int64
	// lostCount is the number of lost links, isolated is set if all are.
	lostCount atomic.Int64
	isolated  atomic.Bool

	mu    sync.Mutex
	links *reach.Links
	// waiting holds the attempts under way over links of this node.
	waiting map[*attempt]struct{}
}

// hear records that bytes arrived over a link.
func (d *directLinks) hear() { d.heardAt.Store(time.Now().UnixNano()) }

// update calls f with the state of the links.
func (d *directLinks) update(endpoints int, f func(*reach.Links)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links == nil {
		d.links = reach.New()
	}
	d.links.Hear(time.Unix(0, d.heardAt.Load()))
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

// Draining reports whether the graceful shutdown has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

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

// restoreLink records that this node reaches an endpoint, and keeps the new link.
func (s *Server) restoreLink(e *topol.Endpoint, l *links.Link) {
	s.pool(e.Address).Put(l, time.Now())
	s.markReached(e)
}

// markReached records that this node reaches an endpoint.
func (s *Server) markReached(e *topol.Endpoint) {
	if s.direct.lostCount.Load() == 0 {
		return
	}
	s.direct.hear()
	s.updateLinks(func(r *reach.Links) { r.Restore(e.Name, s.endpointCount(), time.Now()) })
}

// connectTo opens a link to an endpoint, over a peer if this node doesn't reach it.
func (s *Server) connectTo(ctx context.Context, e *topol.Endpoint) (l *links.Link, overPeer bool, err error) {
	if !s.sendsDirectly(e) {
		if c, err := s.dialOverPeer(ctx, e); err == nil {
			return links.NewLink(c), true, nil
		}
		l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
		if err == nil {
			s.markReached(e)
		}
		return l, false, err
	}
	return s.connectHedged(ctx, e)
}

// DialListed opens a connection to the endpoint at an address, as connectTo does, for
// calls other than callers' requests.
func (s *Server) DialListed(ctx context.Context, address string) (net.Conn, error) {
	list := s.Feeds.Endpoints()
	if list == nil || list.ByAddress[address] == nil {
		return nil, errors.Errorf("no endpoint is listed at %s", address)
	}
	l, _, err := s.connectTo(ctx, list.ByAddress[address])
	if err != nil {
		return nil, err
	}
	return l.Conn, nil
}

// connectHedged opens a link to an endpoint. If that fails or takes longer than
// hedgeDelay, it also tries over a peer.
func (s *Server) connectHedged(ctx context.Context, e *topol.Endpoint) (*links.Link, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type dialed struct {
		link *links.Link
		err  error
	}
	results := make(chan dialed, 1)
	go func() {
		l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
		results <- dialed{l, err}
	}()
	closeLate := func() {
		go func() {
			if d := <-results; d.link != nil {
				d.link.Close()
			}
		}()
	}
	var direct *dialed
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case d := <-results:
		if d.err == nil {
			return d.link, false, nil
		}
		direct = &d
	case <-t.C:
	}
	c, err := s.dialOverPeer(ctx, e)
	switch {
	case err == nil:
		if direct == nil {
			closeLate()
		}
		s.loseLink(e)
		return links.NewLink(c), true, nil
	case direct == nil:
		d := <-results
		direct = &d
	}
	return direct.link, false, direct.err
}

// dialOverPeer opens a tunnel to an endpoint over one of the peers.
func (s *Server) dialOverPeer(ctx context.Context, e *topol.Endpoint) (net.Conn, error) {
	peers := reach.Order(s.Helpers(time.Now()), s.DataCentre, random)
	err := error(errNoPeer)
	for _, p := range peers[:min(maxPeersTried, len(peers))] {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var c net.Conn
		if c, err = s.dialOver(ctx, p, e); err == nil {
			return c, nil
		}
		if errors.Is(err, tunnel.ErrUnreachable) && s.direct.lostCount.Load() == 0 {
			// Probably the endpoint is down.
			return nil, err
		}
	}
	return nil, err
}

func (s *Server) dialOver(ctx context.Context, p reach.Peer, e *topol.Endpoint) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	c, err := tunnel.Dial(ctx, p.Address, tunnel.Request{From: s.Node, Endpoint: e.Name, Address: e.Address, Timeout: peerConnectTimeout})
	if err != nil {
		s.requestLog(false).Err(err).Str("peer", string(p.Name)).Str("endpoint", string(e.Name)).Msg("gate: no tunnel over a peer")
	}
	return c, err
}

// ConnectForPeer connects to an endpoint for a peer, over a link of this node only. The
// endpoint must be listed, and the peer known.
func (s *Server) ConnectForPeer(ctx context.Context, r tunnel.Request) (net.Conn, error) {
	list := s.Feeds.Endpoints()
	known := slices.ContainsFunc(s.Helpers(time.Now()), func(p reach.Peer) bool { return p.Name == r.From })
	switch {
	case list == nil || !known:
		return nil, errors.New("unknown node or no endpoints yet")
	case s.rejectsNew(topol.Stream, time.Now()):
		return nil, errors.New("node is stopping")
	case s.Isolated():
		return nil, errors.New("node is isolated")
	}
	e := list.ByName[r.Endpoint]
	if e == nil || e.Address != r.Address || e.Leaving {
		return nil, errors.New("endpoint is not listed at this address, or is leaving")
	}
	if ok, _ := s.availability.check(e, time.Now()); !ok {
		return nil, errors.New("endpoint states that it wants no requests")
	}
	l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
	if err != nil {
		return nil, err
	}
	s.direct.hear()
	s.inFlightCount.Add(1)
	return &countedConn{Conn: l.Conn, closed: func() { s.inFlightCount.Add(-1) }}, nil
}

// countedConn calls closed when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
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

// checkLostLinks tries to connect over the lost links that are due.
func (s *Server) checkLostLinks(ctx context.Context, now time.Time) {
	list := s.Feeds.Endpoints()
	if list == nil {
		return
	}
	var due []ident.EndpointName
	s.updateLinks(func(l *reach.Links) {
		due = l.DueChecks(now, func(n ident.EndpointName) bool { return list.ByName[n] != nil })
	})
	for _, n := range due {
		go s.tryLink(ctx, list.ByName[n])
	}
}

// tryLink connects to an endpoint and reports whether that succeeded.
func (s *Server) tryLink(ctx context.Context, e *topol.Endpoint) bool {
	l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
	if err != nil {
		return false
	}
	s.restoreLink(e, l)
	return true
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
		add(e)
	}
	return es
}

// checkIsolation tries to connect to endpoints and, if none can be reached, over peers. If
// peers reach them, the requests that wait on links of this node are sent again.
func (s *Server) checkIsolation(ctx context.Context, es []*topol.Endpoint) {
	var reached atomic.Bool
	forEach(es, func(e *topol.Endpoint) {
		if s.tryLink(ctx, e) {
			reached.Store(true)
		}
	})
	if reached.Load() {
		return
	}
	forEach(es, func(e *topol.Endpoint) {
		if c, err := s.dialOverPeer(ctx, e); err == nil {
			c.Close()
			s.loseLink(e)
		}
	})
	if s.Isolated() {
		for _, a := range s.direct.attempts() {
			a.abandon()
		}
	}
}

// forEach calls f with all endpoints concurrently.
func forEach(es []*topol.Endpoint, f func(*topol.Endpoint)) {
	var wg sync.WaitGroup
	for _, e := range es {
		wg.Go(func() { f(e) })
	}
	wg.Wait()
}

// abandon ends an attempt over a lost link if the request can be sent again.
func (a *attempt) abandon() {
	if !a.canRunElsewhere() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.linkLost = true
	a.link.SetDeadline(expiredDeadline)
}

// verifyFailure finds out whether an endpoint that failed is down, or only the link of
// this node is lost. Then the endpoint has failed for this node alone.
func (s *Server) verifyFailure(e *topol.Endpoint) (down bool) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	l, overPeer, err := s.connectTo(ctx, e)
	if err != nil {
		return true
	}
	if overPeer {
		l.Close()
		return false
	}
	s.restoreLink(e, l)
	return true
}
