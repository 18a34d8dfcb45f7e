package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// DefaultHubThreshold is the value of Mesh.HubThreshold that nodes use.
const DefaultHubThreshold = 24

const (
	// hubsPerDataCentre is the number of hubs in each data centre: nodes that
	// forward the updates of the others.
	hubsPerDataCentre = 2
	// hubCandidates is how many nodes of the whole deployment, and of a data
	// centre, are watched closely (see peer.watched), so that one of them can
	// take over as a hub or as a reader of the store, or read it while the readers
	// can't. They are the first ones in the order of Mesh.connected.
	hubCandidates = 4
)

// usesHubs reports whether updates are sent through hubs.
func (m *Mesh) usesHubs() bool { return m.HubThreshold > 0 && m.NodeCount() >= m.HubThreshold }

// connectedNode is this node or a peer that it is connected to. For this node,
// peer is nil.
type connectedNode struct {
	relay.Member
	alive bool
	peer  *peer
}

// connected returns this node and the peers that it is connected to, sorted by
// descending number of cores and then by name.
func (m *Mesh) connected(now time.Time) []connectedNode {
	ns := []connectedNode{{m.Self, true, nil}}
	for _, p := range m.allPeers() {
		p.mu.Lock()
		if p.Name != "" && p.client != nil {
			ns = append(ns, connectedNode{p.Member, now.Sub(p.lastSeen) < p.aliveTimeout(), p})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(ns, func(a, b connectedNode) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	return ns
}

// hubPlan is the result of choosing the hubs, as far as it concerns this node.
type hubPlan struct {
	// hub is the hub in this node's data centre that forwards this node's
	// updates; nil if this node is a hub itself.
	hub *peer
	// remoteHubs are the hubs in other data centres, one for each, to which this
	// node sends updates if it is a hub.
	remoteHubs map[*peer]bool
	// watched are the peers to watch closely.
	watched map[*peer]bool
}

// planHubs chooses the hubs. Nodes are spread over the hubs of a data centre by
// a hash of their names.
func (m *Mesh) planHubs(ns []connectedNode) hubPlan {
	plan := hubPlan{remoteHubs: map[*peer]bool{}, watched: map[*peer]bool{}}
	watch := func(list []connectedNode) {
		for _, n := range list[:min(hubCandidates, len(list))] {
			plan.watched[n.peer] = true
		}
	}
	watch(ns)
	byDataCentre := map[ident.DataCentre][]connectedNode{}
	for _, n := range ns {
		byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], n)
	}
	local := byDataCentre[m.Self.DataCentre]
	watch(local)
	hubs := hubsOf(local)
	if !slices.ContainsFunc(hubs, func(n connectedNode) bool { return n.peer == nil }) {
		plan.hub = m.pickHub(hubs)
		return plan
	}
	for c, list := range byDataCentre {
		if c == m.Self.DataCentre {
			continue
		}
		watch(list)
		if p := m.pickHub(hubsOf(list)); p != nil {
			plan.remoteHubs[p] = true
		}
	}
	return plan
}

// hubsOf returns the hubs of a data centre: the first of its sorted nodes that
// are alive.
func hubsOf(ns []connectedNode) []connectedNode {
	alive := slices.DeleteFunc(slices.Clone(ns), func(n connectedNode) bool { return !n.alive })
	return alive[:min(hubsPerDataCentre, len(alive))]
}

// pickHub picks one of the hubs by a hash of this node's name. It returns nil if
// there are none.
func (m *Mesh) pickHub(hubs []connectedNode) *peer {
	if len(hubs) == 0 {
		return nil
	}
	return hubs[xxhash.Sum64String(string(m.Self.Name))%uint64(len(hubs))].peer
}

// chooseHubs chooses the hubs and sets the peers that get this node's updates
// directly. Without hubs these are all peers. With hubs, a node that is no hub
// sends to its own hub only, and a hub sends to all nodes of its data centre and
// to one hub of each other data centre.
func (m *Mesh) chooseHubs(now time.Time) {
	useHubs := m.usesHubs()
	var plan hubPlan
	if useHubs {
		plan = m.planHubs(m.connected(now))
	}
	isHub := useHubs && plan.hub == nil
	var missed []relay.Update
	if !m.isHub.Swap(isHub) && isHub {
		missed = m.takeUnforwarded()
	}
	m.delaysNonUrgent.Store(useHubs)
	for _, p := range m.allPeers() {
		p.mu.Lock()
		local := p.DataCentre == "" || p.DataCentre == m.Self.DataCentre
		direct := !useHubs || p == plan.hub || plan.hub == nil && (local || plan.remoteHubs[p])
		if direct && !p.direct && p.client != nil {
			full := m.ownRequests(true)
			p.pending.Reset, p.pending.Began = true, full.Began
			p.pending.Wrote, p.pending.Done = nil, nil
			p.wakeUp()
		}
		if plan.remoteHubs[p] && p.client != nil && len(missed) > 0 {
			for _, u := range missed {
				p.pending.Forwarded = append(p.pending.Forwarded, copyOf(u, relay.ScopeDataCentre))
			}
			p.wakeUp()
		}
		watched := !useHubs || plan.watched[p] || p.Name == ""
		if watched && !p.watched {
			// The peer's timeout is now shorter, so its last contact may be too
			// long ago for it to count as alive until the next one.
			p.wakeUp()
		}
		p.direct, p.watched, p.scope = direct, watched, relay.ScopePeer
		if useHubs && p == plan.hub {
			p.scope = relay.ScopeAll
		}
		if plan.remoteHubs[p] {
			p.scope = relay.ScopeDataCentre
		}
		p.mu.Unlock()
	}
}

// requestsOfOthers returns updates with the requests in flight of all other
// nodes, for a peer. It returns nil unless this node is a hub and the peer is
// known to be in its data centre.
func (m *Mesh) requestsOfOthers(p *peer) []relay.Update {
	p.mu.Lock()
	receiver := p.Member
	p.mu.Unlock()
	if !m.isHub.Load() || receiver.DataCentre != m.Self.DataCentre {
		return nil
	}
	var us []relay.Update
	for _, o := range m.Members() {
		if o.Name != "" && o.Name != m.Self.Name && o.Name != receiver.Name {
			us = append(us, m.requestsOf(o))
		}
	}
	return us
}

// requestsOf returns an update with all requests in flight of a node.
func (m *Mesh) requestsOf(o relay.Member) relay.Update {
	u := relay.Update{From: o, Reset: true}
	for _, w := range m.InFlight.ByNode(o.Name) {
		u.Began = append(u.Began, relay.AgedRequest{Work: w})
	}
	return u
}

// forward queues an update of another node for the peers in its scope. Its ages
// must have been converted to times by apply.
func (m *Mesh) forward(u relay.Update) {
	if u.Reach == relay.ScopePeer || u.Empty() {
		return
	}
	if u.Reach == relay.ScopeAll && !m.isHub.Load() {
		m.keepUnforwarded(u)
	}
	for _, p := range m.allPeers() {
		p.mu.Lock()
		local, remoteHub, origin := p.DataCentre == m.Self.DataCentre, p.scope == relay.ScopeDataCentre, p.Name == u.From.Name
		p.mu.Unlock()
		if origin || !local && (u.Reach != relay.ScopeAll || !remoteHub) {
			continue
		}
		copied := copyOf(u, relay.ScopePeer)
		if !local {
			copied.Reach = relay.ScopeDataCentre
		}
		p.queue(len(u.Began)+len(u.Failed)+len(u.Struck)+len(u.Proofs)+len(u.Limits)+len(u.Stated)+len(u.Rests) > 0, func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) })
	}
}

// copyOf returns a copy of an update with another scope. It copies the slices
// whose elements setAges changes for each peer.
func copyOf(u relay.Update, r relay.Scope) relay.Update {
	u.Began = slices.Clone(u.Began)
	u.Struck = slices.Clone(u.Struck)
	u.Proofs = slices.Clone(u.Proofs)
	u.Parts = slices.Clone(u.Parts)
	u.Limits = slices.Clone(u.Limits)
	u.Rests = slices.Clone(u.Rests)
	u.Decided = slices.Clone(u.Decided)
	u.Reach = r
	return u
}

// maxUnforwarded bounds the number of updates kept by keepUnforwarded.
const maxUnforwarded = 256

// keepUnforwarded keeps an update until this node becomes a hub: another node may
// choose this node as its hub before this node has found out that it is one. At
// maxUnforwarded updates, it drops the oldest.
func (m *Mesh) keepUnforwarded(u relay.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.unforwarded) == maxUnforwarded {
		m.unforwarded = m.unforwarded[1:]
	}
	m.unforwarded = append(m.unforwarded, copyOf(u, relay.ScopeDataCentre))
}

func (m *Mesh) takeUnforwarded() []relay.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	us := m.unforwarded
	m.unforwarded = nil
	return us
}
