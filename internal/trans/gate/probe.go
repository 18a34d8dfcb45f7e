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
	if !s.mayProbe(e) {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(withoutRequest(ctx), probeTimeout+hedgeDelay)
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
	peers := s.peersTo(e, anywhere)
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

// mayProbe reports whether an endpoint may be probed: not if it is in need.
func (s *Server) mayProbe(e *topol.Endpoint) bool {
	now := time.Now()
	return s.availability.accepts(e, s.Node, now) && !s.endpointLimits.limits(e) && !s.isBounded(e, now)
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
