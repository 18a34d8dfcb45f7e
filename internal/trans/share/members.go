package share

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/coord/views"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// digestInterval is the time between two lists of all members that a hub sends. It
	// must be well below unwatchedAliveTimeout.
	digestInterval = 4 * time.Second
	// linkGrace is how long a node that others heard of counts as alive while the first
	// connection to it is being opened, and linkHoldDown how long it doesn't after that
	// failed.
	linkGrace    = time.Second
	linkHoldDown = deadAfter
)

// knownNode is this node or a peer whose name is known. For this node, peer is nil.
type knownNode struct {
	relay.Member
	alive, recent bool
	peer          *peer
}

// view returns the node as package views needs it.
func (n knownNode) view() views.Member {
	return views.Member{Name: n.Name, DataCentre: n.DataCentre, Cores: n.Cores, Alive: n.alive, Recent: n.recent, Streams: n.Streams}
}

// known returns this node and the peers whose names are known, in the order of
// views.Sort.
func (m *Mesh) known(now time.Time) []knownNode {
	ns := []knownNode{{m.self(), true, true, nil}}
	connected := false
	for _, p := range m.allPeers() {
		p.mu.Lock()
		if p.Name != "" {
			ns = append(ns, knownNode{p.Member, p.alive(now), now.Sub(p.lastSeen) < deadAfter, p})
			connected = connected || p.client != nil || p.connecting(now)
		}
		p.mu.Unlock()
	}
	if !connected {
		// A node whose connections are all broken can't rely on what others reported.
		for i := range ns {
			ns[i].alive = ns[i].peer == nil
		}
	}
	slices.SortFunc(ns, func(a, b knownNode) int { return views.Compare(a.view(), b.view()) })
	return ns
}

// aliveNodes returns this node and the peers that are alive, in the order of known.
func (m *Mesh) aliveNodes(now time.Time) []knownNode {
	return slices.DeleteFunc(m.known(now), func(n knownNode) bool { return !n.alive })
}

// NodeCount returns the number of known nodes, including this one.
func (m *Mesh) NodeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// Members returns the known nodes, including this one.
func (m *Mesh) Members() []relay.Member {
	ms := []relay.Member{m.self()}
	for _, p := range m.allPeers() {
		p.mu.Lock()
		ms = append(ms, p.Member)
		p.mu.Unlock()
	}
	return ms
}

// self returns this node with its status.
func (m *Mesh) self() relay.Member {
	self := m.Self
	self.Streams = true
	if m.Status != nil {
		self.Isolated, self.Leaving = m.Status()
	}
	return self
}

// Peers returns the peers that are alive, over which this node may send requests.
func (m *Mesh) Peers(now time.Time) []reach.Peer {
	var ps []reach.Peer
	for _, n := range m.aliveNodes(now) {
		if n.peer == nil {
			continue
		}
		ps = append(ps, reach.Peer{
			Name: n.Name, Address: n.Address, DataCentre: n.DataCentre, Cores: n.Cores, Isolated: n.Isolated, Leaving: n.Leaving,
			Requests: m.InFlight.CountOf(n.Name),
		})
	}
	return ps
}

// addressOf returns the address of a node, or an empty string if it isn't known.
func (m *Mesh) addressOf(n ident.NodeName) string {
	for _, o := range m.Members() {
		if o.Name == n {
			return o.Address
		}
	}
	return ""
}

// heardOf returns the nodes that this node heard of, itself first.
func (m *Mesh) heardOf(now time.Time) []relay.HeardMember {
	hs := []relay.HeardMember{{Member: m.self()}}
	for _, p := range m.allPeers() {
		p.mu.Lock()
		if p.Name != "" && now.Sub(p.lastSeen) < unwatchedAliveTimeout {
			hs = append(hs, p.heard(now))
		}
		p.mu.Unlock()
	}
	return hs
}

// markSeen records contact with a node and adds it as a peer if it is new. If this node is its
// hub, the peer then gets what the others know at once.
func (m *Mesh) markSeen(from relay.Member) {
	p := m.peerAt(from.Address)
	if p == nil {
		return
	}
	now := time.Now()
	if found := m.learn(p, relay.HeardMember{Member: from}, now); found {
		m.replan(now)
	}
}

// hear records what another node heard of members.
func (m *Mesh) hear(hs []relay.HeardMember) {
	now := time.Now()
	for _, h := range hs {
		h.Age = max(0, h.Age)
		if h.Member.Name == "" || h.Age > unwatchedAliveTimeout {
			continue
		}
		if p := m.peerAt(h.Member.Address); p != nil {
			m.learn(p, h, now)
		}
	}
}

// peerAt returns the peer with an address, which it adds if it is new. It returns nil for
// this node and for an empty address.
func (m *Mesh) peerAt(address string) *peer {
	m.AddPeer(address)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[address]
}

// learn records what is heard of a peer, unless something later is known, and reports whether
// the peer was unknown or lost and no longer is. A hub passes on what is new.
func (m *Mesh) learn(p *peer, h relay.HeardMember, now time.Time) (found bool) {
	heardAt := now.Add(-h.Age)
	p.mu.Lock()
	if p.Name != "" && (heardAt.Before(p.lastSeen) || p.lost && heardAt.Before(p.lostAt)) {
		p.mu.Unlock()
		return false
	}
	isNew := p.Name == ""
	found = isNew || p.lost && !h.Lost
	changed := isNew || p.Member != h.Member || p.lost != h.Lost
	p.Member, p.lost = h.Member, h.Lost
	if h.Lost {
		p.lostAt = heardAt
	} else {
		p.lastSeen = heardAt
	}
	p.mu.Unlock()
	if isNew {
		m.Logger.Info().Str("peer", string(h.Member.Name)).Str("address", h.Member.Address).Msg("share: first contact with node")
	}
	if changed {
		m.passOn(h, now)
	}
	return found
}

// passOn sends what this node learned of a member to the other nodes if this node is a hub.
func (m *Mesh) passOn(h relay.HeardMember, heardNow time.Time) {
	m.queueHeard(func(to relay.Scope) []relay.HeardMember {
		if to == relay.ScopeDataCentre && h.Member.DataCentre != m.Self.DataCentre {
			return nil
		}
		h := h
		h.Age += time.Since(heardNow)
		return []relay.HeardMember{h}
	})
}

// sendDigest sends a list of the members that this node heard of, at intervals and if it is a
// hub: to other data centres the members of its own, to its own data centre all.
func (m *Mesh) sendDigest(now time.Time) {
	if !m.isHub.Load() || !m.digestDue(now) {
		return
	}
	all := m.heardOf(now)
	local := slices.DeleteFunc(slices.Clone(all), func(h relay.HeardMember) bool { return h.Member.DataCentre != m.Self.DataCentre })
	m.queueHeard(func(to relay.Scope) []relay.HeardMember {
		if to == relay.ScopeDataCentre {
			return local
		}
		return all
	})
}

// digestDue reports whether the next list of all members is due, and counts it as sent.
func (m *Mesh) digestDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.digestAt) < digestInterval {
		return false
	}
	m.digestAt = now
	return true
}

// queueHeard queues what this node heard of members for the nodes to which it sends as a
// hub. of returns what to send to a node that forwards updates to the given scope.
func (m *Mesh) queueHeard(of func(to relay.Scope) []relay.HeardMember) {
	if !m.isHub.Load() {
		return
	}
	m.queueFor(false, func(p *peer) func(*relay.Update) {
		to := relay.ScopePeer
		if p != nil {
			to = p.scope
		}
		hs := of(to)
		if len(hs) == 0 {
			return nil
		}
		return func(u *relay.Update) { u.Heard = append(u.Heard, hs...) }
	})
}

// findLost marks the peers whose connections broke and can't be opened again, and reports
// them to the other nodes if this node is a hub.
func (m *Mesh) findLost(now time.Time) {
	for _, p := range m.allPeers() {
		p.mu.Lock()
		lost := p.Name != "" && !p.lost && p.linked && p.client == nil && !p.failedAt.IsZero() && now.Sub(p.lastSeen) > watchedAliveTimeout
		if lost {
			p.lost, p.lostAt = true, now
		}
		h := p.heard(now)
		p.mu.Unlock()
		if lost {
			m.passOn(h, now)
		}
	}
}
