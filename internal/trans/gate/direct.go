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
	// silenceProbes is the number of endpoints that a node with silent links probes.
	silenceProbes = 3
	// probeTimeout bounds a probe: a connection, a request and the first byte of the
	// response.
	probeTimeout = 300 * time.Millisecond
)

// errNoPeer means that there is no peer over which requests can be sent.
const errNoPeer = errors.ConstError("no peer to send over")

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

// restoreLink records that bytes arrived over a link of this node to an endpoint.
func (s *Server) restoreLink(e *topol.Endpoint) {
	s.direct.hear()
	if s.direct.lostCount.Load() > 0 {
		s.updateLinks(func(r *reach.Links) { r.Restore(e.Name, s.endpointCount(), time.Now()) })
	}
}

// connectTo opens a link to an endpoint, over a peer if this node doesn't reach it.
func (s *Server) connectTo(ctx context.Context, e *topol.Endpoint) (l *links.Link, overPeer bool, err error) {
	if !s.sendsDirectly(e) {
		if c, err := s.dialOverPeer(ctx, e); err == nil {
			return links.NewLink(c), true, nil
		}
		l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
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
	s.inFlightCount.Add(1)
	return &peerConn{Conn: l.Conn, server: s}, nil
}

// peerConn is a connection to an endpoint for a peer. It counts as a request in flight.
type peerConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Read reads what the endpoint sent, which shows that the link works.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.server.direct.hear()
	}
	return n, err
}

// Close closes the connection.
func (c *peerConn) Close() error {
	c.once.Do(func() { c.server.inFlightCount.Add(-1) })
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

// checkLostLinks probes the lost links that are due.
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
		go s.probeDirectly(ctx, list.ByName[n])
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
		for _, a := range s.direct.attempts() {
			a.abandon()
		}
	}
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

// reachability is what probes of an endpoint show.
type reachability int

const (
	// reachedDirectly means that the link of this node works.
	reachedDirectly reachability = iota
	// reachedOverPeer means that only peers reach the endpoint: the link is lost.
	reachedOverPeer
	// unreachable means that no probe was answered.
	unreachable
)

// diagnose probes an endpoint over the link of this node and, if that isn't answered
// within hedgeDelay, over peers. It records whether the link is lost. Calls for the same
// endpoint at one time share the probes.
func (s *Server) diagnose(ctx context.Context, e *topol.Endpoint) reachability {
	r, _, _ := s.diagnoses.Do(string(e.Name), func() (any, error) { return s.probeAll(ctx, e), nil })
	return r.(reachability)
}

func (s *Server) probeAll(ctx context.Context, e *topol.Endpoint) reachability {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+hedgeDelay)
	defer cancel()
	direct := make(chan bool, 1)
	go func() { direct <- s.probeDirectly(ctx, e) }()
	overPeer := make(chan bool, 1)
	probePeers := func() { go func() { overPeer <- s.probeOverPeers(ctx, e) }() }
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case ok := <-direct:
		if ok {
			return reachedDirectly
		}
		probePeers()
		direct <- false
	case <-t.C:
		probePeers()
	}
	reachedByPeer := <-overPeer
	if <-direct {
		return reachedDirectly
	}
	if reachedByPeer {
		s.loseLink(e)
		return reachedOverPeer
	}
	return unreachable
}

// probeDirectly reports whether an endpoint answers a probe over a link of this node.
func (s *Server) probeDirectly(ctx context.Context, e *topol.Endpoint) bool {
	l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
	if err != nil || !s.probe(l.Conn, e) {
		return false
	}
	s.restoreLink(e)
	return true
}

// probeOverPeers reports whether an endpoint answers a probe over one of the peers.
func (s *Server) probeOverPeers(ctx context.Context, e *topol.Endpoint) bool {
	peers := reach.Order(s.Helpers(time.Now()), s.DataCentre, random)
	peers = peers[:min(maxPeersTried, len(peers))]
	answered := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			c, err := s.dialOver(ctx, p, e)
			answered <- err == nil && s.probe(c, e)
		}()
	}
	for range peers {
		if <-answered {
			return true
		}
	}
	return false
}

// probe sends a probe and reports whether the endpoint sends anything back. It closes the
// connection.
func (s *Server) probe(c net.Conn, e *topol.Endpoint) bool {
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := c.Write(s.Dialect.Probe(e)); err != nil {
		return false
	}
	n, _ := c.Read(make([]byte, 1))
	return n > 0
}
