package gate

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// hedgeDelay is how long a node tries to reach an endpoint itself before it also
	// tries over a peer.
	hedgeDelay = 100 * time.Millisecond
	// peerConnectTimeout bounds the time in which a peer connects to an endpoint, and
	// tunnelTimeout the time to open a tunnel over one peer.
	peerConnectTimeout = 200 * time.Millisecond
	tunnelTimeout      = 300 * time.Millisecond
)

// errNoPeer means that there is no peer over which requests can be sent.
const errNoPeer = errors.ConstError("no peer to send over")

// connectTo opens a link to an endpoint, over a peer if this node doesn't reach it; the rule says
// over which ones. sender is the node from which the link leads to the endpoint.
func (s *Server) connectTo(ctx context.Context, e *topol.Endpoint, r homes.Rule) (l *links.Link, sender ident.NodeName, err error) {
	if !s.sendsDirectly(e) {
		c, peer, err := s.dialOverPeer(ctx, e, r)
		if err == nil {
			return links.NewLink(c), peer, nil
		}
		if errors.Is(err, tunnel.ErrEvacuated) {
			return nil, s.Node, err
		}
		l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
		return l, s.Node, err
	}
	return s.connectHedged(ctx, e, r)
}

// DialListed opens a connection to the endpoint at an address, as connectTo does, for
// calls other than callers' requests. These may go over each peer: they hold nothing of a
// request but the number of its tokens.
func (s *Server) DialListed(ctx context.Context, address string) (net.Conn, error) {
	list := s.Feeds.Endpoints()
	if list == nil || list.ByAddress[address] == nil {
		return nil, errors.Errorf("no endpoint is listed at %s", address)
	}
	if s.isEvacuated(list.ByAddress[address]) && !carriesNoRequest(ctx) {
		return nil, errEvacuated
	}
	l, _, err := s.connectTo(ctx, list.ByAddress[address], anywhere)
	if err != nil {
		return nil, err
	}
	return l.Conn, nil
}

// connectHedged opens a link to an endpoint. If that fails or takes longer than
// hedgeDelay, it also tries over a peer that the rule allows.
func (s *Server) connectHedged(ctx context.Context, e *topol.Endpoint, r homes.Rule) (*links.Link, ident.NodeName, error) {
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
			return d.link, s.Node, nil
		}
		direct = &d
	case <-t.C:
	}
	c, peer, err := s.dialOverPeer(ctx, e, r)
	switch {
	case err == nil:
		if direct == nil {
			closeLate()
		}
		s.loseLink(e)
		return links.NewLink(c), peer, nil
	case direct == nil:
		d := <-results
		direct = &d
	}
	if direct.err != nil && errors.Is(err, tunnel.ErrEvacuated) {
		return nil, s.Node, err
	}
	return direct.link, s.Node, direct.err
}

// dialOverPeer opens a tunnel to an endpoint over one of the peers that the rule allows.
func (s *Server) dialOverPeer(ctx context.Context, e *topol.Endpoint, r homes.Rule) (net.Conn, ident.NodeName, error) {
	err := error(errNoPeer)
	for _, p := range s.peersTo(e, r) {
		if ctx.Err() != nil {
			return nil, "", ctx.Err()
		}
		var c net.Conn
		if c, err = s.dialOver(ctx, p, e); err == nil {
			return c, p.Name, nil
		}
		if errors.Is(err, tunnel.ErrEvacuated) {
			// The peer has learned of it earlier.
			return nil, "", err
		}
		if errors.Is(err, tunnel.ErrUnreachable) && s.direct.lostCount.Load() == 0 {
			// Probably the endpoint is down.
			return nil, "", err
		}
	}
	return nil, "", err
}

// peersTo returns the peers over which requests under the rule may be sent to an endpoint, the best
// first.
func (s *Server) peersTo(e *topol.Endpoint, r homes.Rule) []reach.Peer {
	now := time.Now()
	peers := slices.DeleteFunc(s.Peers(now), func(p reach.Peer) bool {
		return !r.MayCarry(p.DataCentre) || !s.availability.accepts(e, p.Name, now)
	})
	return reach.Candidates(peers, s.DataCentre, random)
}

func (s *Server) dialOver(ctx context.Context, p reach.Peer, e *topol.Endpoint) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	c, err := tunnel.Dial(ctx, p.Address, tunnel.Request{
		From: s.Node, Endpoint: e.Name, Address: e.Address, Timeout: peerConnectTimeout, NoRequest: carriesNoRequest(ctx),
	})
	if err != nil {
		s.requestLog(false).Err(err).Str("peer", string(p.Name)).Str("endpoint", string(e.Name)).Msg("gate: no tunnel over a peer")
	}
	return c, err
}

// ConnectForPeer connects to an endpoint for a peer, over a link of this node only. The
// endpoint must be listed, and the peer known. The peer may not know yet that the endpoint's
// data centre is evacuated.
func (s *Server) ConnectForPeer(ctx context.Context, r tunnel.Request) (net.Conn, error) {
	list := s.Feeds.Endpoints()
	known := slices.ContainsFunc(s.Peers(time.Now()), func(p reach.Peer) bool { return p.Name == r.From })
	switch {
	case list == nil || !known:
		return nil, errors.New("unknown node or no endpoints yet")
	case s.Draining():
		// How long the peer's request may take isn't known here.
		return nil, errors.New("node is stopping")
	case s.Isolated():
		return nil, errors.New("node is isolated")
	}
	e := list.ByName[r.Endpoint]
	if e == nil || e.Address != r.Address || e.Leaving {
		return nil, errors.New("endpoint is not listed at this address, or is leaving")
	}
	if !s.availability.accepts(e, s.Node, time.Now()) {
		return nil, errors.New("endpoint states that it wants no requests")
	}
	if s.isEvacuated(e) && !r.NoRequest {
		return nil, tunnel.ErrEvacuated
	}
	s.inFlightCount.Add(1)
	l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
	if err != nil {
		s.inFlightCount.Add(-1)
		return nil, err
	}
	if s.isEvacuated(e) && !r.NoRequest {
		s.inFlightCount.Add(-1)
		l.Close()
		return nil, tunnel.ErrEvacuated
	}
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
		c.server.direct.hear(time.Now())
	}
	return n, err
}

// Close closes the connection.
func (c *peerConn) Close() error {
	c.once.Do(func() { c.server.inFlightCount.Add(-1) })
	return c.Conn.Close()
}
