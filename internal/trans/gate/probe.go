package gate

import (
	"context"
	"net"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// probeTimeout bounds a probe: a connection, a request and the first byte of the
// response.
const probeTimeout = 300 * time.Millisecond

// reachability is what probes of an endpoint show.
type reachability int

const (
	// reachedDirectly means that the link of this node works.
	reachedDirectly reachability = iota
	// reachedOverPeer means that only peers reach the endpoint: the link is lost.
	reachedOverPeer
	// unreachable means that no connection could be opened.
	unreachable
	// breaksConnections means that connections were opened, and broken without an answer: the
	// endpoint may have ended behind a proxy, or have too many connections.
	breaksConnections
	// undecided means that a connection was opened, but no probe was answered in time.
	undecided
	// notProbed means that the endpoint may not be probed.
	notProbed
)

func (r reachability) String() string {
	return [...]string{"directly", "over-peer", "unreachable", "breaks-connections", "undecided", "not-probed"}[r]
}

// probeResult is how far a probe came.
type probeResult int

const (
	// probeFailed means that no connection could be opened.
	probeFailed probeResult = iota
	// probeBroken means that the connection was opened and then broken.
	probeBroken
	// probeSilent means that the connection was opened, but nothing came in time.
	probeSilent
	// probeAnswered means that the endpoint has sent something back.
	probeAnswered
)

// diagnose probes an endpoint over the link of this node and, if that isn't answered
// within hedgeDelay, over peers. It records whether the link is lost. Calls for the same
// endpoint at one time share the probes.
func (s *Server) diagnose(ctx context.Context, e *topol.Endpoint) reachability {
	r, _, _ := s.diagnoses.Do(string(e.Name), func() (any, error) { return s.probeAll(ctx, e), nil })
	return r.(reachability)
}

func (s *Server) probeAll(ctx context.Context, e *topol.Endpoint) reachability {
	if !s.mayProbe(e) {
		return notProbed
	}
	ctx, cancel := context.WithTimeout(withoutRequest(ctx), probeTimeout+hedgeDelay)
	defer cancel()
	direct := make(chan probeResult, 1)
	go func() { direct <- s.probeDirectly(ctx, e) }()
	overPeer := make(chan probeResult, 1)
	probePeers := func() { go func() { overPeer <- s.probeOverPeers(ctx, e) }() }
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case r := <-direct:
		if r == probeAnswered {
			return reachedDirectly
		}
		probePeers()
		direct <- r
	case <-t.C:
		probePeers()
	}
	byPeers, byNode := <-overPeer, <-direct
	switch {
	case byNode == probeAnswered:
		return reachedDirectly
	case byPeers == probeAnswered:
		s.loseLink(e)
		return reachedOverPeer
	case byNode == probeSilent || byPeers == probeSilent:
		return undecided
	case byNode == probeBroken || byPeers == probeBroken:
		return breaksConnections
	}
	return unreachable
}

// probeDirectly probes an endpoint over a link of this node.
func (s *Server) probeDirectly(ctx context.Context, e *topol.Endpoint) probeResult {
	l, err := s.pool(e.Address).Dial(ctx, connectTimeout)
	if err != nil {
		return probeFailed
	}
	r := s.probe(l.Conn, e)
	if r == probeAnswered {
		s.restoreLink(e)
	}
	return r
}

// probeOverPeers probes an endpoint over all peers at once, and returns how far the first one that
// is answered came, or else the one that came farthest.
func (s *Server) probeOverPeers(ctx context.Context, e *topol.Endpoint) probeResult {
	peers := s.peersTo(e, anywhere)
	results := make(chan probeResult, len(peers))
	for _, p := range peers {
		go func() {
			c, err := s.dialOver(ctx, p, e)
			if err != nil {
				results <- probeFailed
				return
			}
			results <- s.probe(c, e)
		}()
	}
	farthest := probeFailed
	for range peers {
		if farthest = max(farthest, <-results); farthest == probeAnswered {
			break
		}
	}
	return farthest
}

// mayProbe reports whether an endpoint may be probed: not if it is in need.
func (s *Server) mayProbe(e *topol.Endpoint) bool {
	now := time.Now()
	return s.availability.accepts(e, s.Node, now) && !s.endpointLimits.limits(e) && !s.isBounded(e, now)
}

// probe sends a probe over a connection, which it closes, and returns whether the endpoint sends
// anything back.
func (s *Server) probe(c net.Conn, e *topol.Endpoint) probeResult {
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := c.Write(s.Dialect.Probe(e)); err != nil {
		return probeBroken
	}
	n, err := c.Read(make([]byte, 1))
	switch {
	case n > 0:
		return probeAnswered
	case isTimeout(err):
		return probeSilent
	}
	return probeBroken
}
