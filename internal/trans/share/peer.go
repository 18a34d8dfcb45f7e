package share

import (
	"net/rpc"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// role is the part of a peer in this node's exchange of updates.
type role struct {
	// linked is set if this node keeps a connection to the peer.
	linked bool
	// direct is set if this node sends its own updates to the peer. Otherwise
	// they reach it through hubs.
	direct bool
	// grouped is set if the peer gets them as one of the group of this hub.
	grouped bool
	// scope selects the nodes to which the peer forwards this node's updates.
	scope relay.Scope
	// watched is set if the peer is watched closely: heartbeats are frequent and
	// timeouts short.
	watched bool
}

// extends reports whether a peer with this role gets updates that it didn't get with an old one,
// so that it lacks requests in flight: this node's own, or those that this node passes on as a
// hub. A peer that was direct without hubs lacks those of others when it joins the group.
func (r role) extends(old role) bool {
	return r.direct && (!old.direct || r.scope != old.scope || r.grouped && !old.grouped)
}

// peer is another node.
type peer struct {
	mesh *Mesh
	// address is where the node listens. Member holds nothing but this address
	// until the first contact.
	address string
	// wake makes run send the pending changes.
	wake chan struct{}

	mu sync.Mutex
	relay.Member
	role
	// linkedAt is when linked was last set. neededUntil is the time until which a
	// connection is kept although the peer isn't linked, since it is in use.
	linkedAt, neededUntil time.Time
	// running is set while run keeps a connection, failedAt is when a connection to the
	// peer last failed, zero after one was opened.
	running  bool
	failedAt time.Time
	// lost is set if the connection to the peer broke, here or at a hub, and can't be
	// opened again; lostAt is when that was found out.
	lost   bool
	lostAt time.Time
	// lastSeen is the time of the last contact in either direction or, if that was
	// later, with another node that reported it; or the time of AddPeer.
	lastSeen time.Time
	// pending holds the changes for the next update.
	pending relay.Update
	// flushScheduled is set if a timer that sends the pending changes was
	// started since the last update.
	flushScheduled bool
	client         *rpc.Client
	// connected is closed when client is set; nil if nobody waits for that.
	connected chan struct{}
	// frameAt is when the last frame came from the peer.
	frameAt time.Time
	// outlet is the stream to the peer, if there is one.
	outlet *outlet
}

func (p *peer) name() ident.NodeName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Name
}

// heard returns what this node heard of the peer. The caller holds p.mu.
func (p *peer) heard(now time.Time) relay.HeardMember {
	if p.lost {
		return relay.HeardMember{Member: p.Member, Age: now.Sub(p.lostAt), Lost: true}
	}
	return relay.HeardMember{Member: p.Member, Age: now.Sub(p.lastSeen)}
}

// setRole sets the role of the peer, and queues what it has missed so far if it gets this
// node's updates directly from now on. Other hubs are not told again what this node knows of
// endpoints and parts of prompts, as they would pass it on.
func (p *peer) setRole(r role, now time.Time) {
	p.mu.Lock()
	old := p.role
	p.role = r
	if r.linked && !old.linked {
		p.linkedAt = now
	}
	missesState := r.extends(old) && p.client != nil
	missesKnowledge := missesState && r.scope == relay.ScopePeer || r.linked && !old.linked && p.client != nil
	p.mu.Unlock()
	if missesState {
		p.queueState()
	}
	if missesKnowledge {
		p.queueKnowledge()
	}
	if r.linked {
		p.start()
	}
	// The timeout of a peer that is now watched is shorter, so its last contact may be too
	// long ago for it to count as alive until the next one. Other peers may have to open or
	// close a stream or a connection.
	if r != old {
		p.wakeUp()
	}
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// connecting reports whether the first connection to the peer, since it is linked, is being
// opened. The caller holds p.mu.
func (p *peer) connecting(now time.Time) bool {
	return p.client == nil && p.linked && p.failedAt.IsZero() && now.Sub(p.linkedAt) < linkGrace
}

// alive reports whether the peer was heard of recently and, as far as this node knows, can
// be reached. The caller holds p.mu.
func (p *peer) alive(now time.Time) bool {
	if p.Name == "" || p.lost || now.Sub(p.lastSeen) >= p.aliveTimeout() {
		return false
	}
	return p.client != nil || !p.linked && now.Sub(p.failedAt) > linkHoldDown || p.connecting(now)
}

// aliveTimeout returns the silence after which the peer no longer counts as
// alive. The caller holds p.mu.
func (p *peer) aliveTimeout() time.Duration {
	if p.watched && p.client != nil {
		return watchedAliveTimeout
	}
	return unwatchedAliveTimeout
}
