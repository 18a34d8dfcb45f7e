package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// DefaultHubThreshold is the default of Mesh.HubsFrom.
const DefaultHubThreshold = 24

const (
	// hubsPerDataCentre is the number of nodes of a data centre that pass updates on.
	hubsPerDataCentre = 2
	// hubCandidates is the number of nodes that are watched closely, so that one
	// of them can take over as hub or as reader of the store.
	hubCandidates = 4
)

// usesHubs reports whether updates go through a few nodes of each data centre.
func (m *Mesh) usesHubs() bool { return m.HubThreshold > 0 && m.NodeCount() >= m.HubThreshold }

// connectedNode is a node as the choice of hubs sees it. Peer is nil for this node.
type connectedNode struct {
	relay.Member
	alive bool
	peer  *peer
}

// connected returns this node and the peers that it is connected to, the
// strongest first, and in the order of their names among equals.
func (m *Mesh) connected(now time.Time) []connectedNode {
	ns := []connectedNode{{m.Self, true, nil}}
	for _, p := range m.all() {
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

// hubPlan is who passes updates on for whom.
type hubPlan struct {
	// hub passes this node's updates on in its data centre; nil if this node
	// is a hub itself.
	hub *peer
	// remoteHubs are the hubs that this node uses in other data centres, if it is a
	// hub.
	remoteHubs map[*peer]bool
	// watched are the nodes that are watched closely.
	watched map[*peer]bool
}

// planHubs chooses the hubs. The choices of all nodes spread over the hubs of a
// data centre.
func (m *Mesh) planHubs(ns []connectedNode) hubPlan {
	t := hubPlan{remoteHubs: map[*peer]bool{}, watched: map[*peer]bool{}}
	watch := func(list []connectedNode) {
		for _, n := range list[:min(hubCandidates, len(list))] {
			t.watched[n.peer] = true
		}
	}
	watch(ns)
	centres := map[ident.DataCentre][]connectedNode{}
	for _, n := range ns {
		centres[n.DataCentre] = append(centres[n.DataCentre], n)
	}
	own := centres[m.Self.DataCentre]
	watch(own)
	chosen := hubsOf(own)
	if !slices.ContainsFunc(chosen, func(n connectedNode) bool { return n.peer == nil }) {
		t.hub = m.pickHub(chosen)
		return t
	}
	for c, list := range centres {
		if c == m.Self.DataCentre {
			continue
		}
		watch(list)
		if p := m.pickHub(hubsOf(list)); p != nil {
			t.remoteHubs[p] = true
		}
	}
	return t
}

// hubsOf returns the first nodes alive.
func hubsOf(ns []connectedNode) []connectedNode {
	alive := slices.DeleteFunc(slices.Clone(ns), func(n connectedNode) bool { return !n.alive })
	return alive[:min(hubsPerDataCentre, len(alive))]
}

func (m *Mesh) pickHub(hubs []connectedNode) *peer {
	if len(hubs) == 0 {
		return nil
	}
	return hubs[xxhash.Sum64String(string(m.Self.Name))%uint64(len(hubs))].peer
}

// chooseHubs chooses the peers that are told directly: without hubs all; else
// the hub of this node, or for a hub all nodes of its data centre and one hub
// of each other.
func (m *Mesh) chooseHubs(now time.Time) {
	hubs := m.usesHubs()
	var t hubPlan
	if hubs {
		t = m.planHubs(m.connected(now))
	}
	passes := hubs && t.hub == nil
	var missed []relay.Update
	if !m.isHub.Swap(passes) && passes {
		missed = m.takeUnforwarded()
	}
	m.delaysNonUrgent.Store(hubs)
	for _, p := range m.all() {
		p.mu.Lock()
		near := p.DataCentre == "" || p.DataCentre == m.Self.DataCentre
		told := !hubs || p == t.hub || t.hub == nil && (near || t.remoteHubs[p])
		if told && !p.direct && p.client != nil {
			whole := m.ownRequests(true)
			whole.Forwarded = p.pending.Forwarded
			p.pending = whole
			p.wakeUp()
		}
		if t.remoteHubs[p] && p.client != nil && len(missed) > 0 {
			for _, u := range missed {
				p.pending.Forwarded = append(p.pending.Forwarded, copyOf(u, relay.ScopeDataCentre))
			}
			p.wakeUp()
		}
		watched := !hubs || t.watched[p] || p.Name == ""
		if watched && !p.watched {
			// It may have been heard too long ago to count as alive.
			p.wakeUp()
		}
		p.direct, p.watched, p.scope = told, watched, relay.ScopePeer
		if hubs && p == t.hub {
			p.scope = relay.ScopeAll
		}
		if t.remoteHubs[p] {
			p.scope = relay.ScopeDataCentre
		}
		p.mu.Unlock()
	}
}

// requestsOfOthers returns what this node knows of the works of others, for a node of its
// data centre that it passes updates on to.
func (m *Mesh) requestsOfOthers(p *peer) []relay.Update {
	p.mu.Lock()
	to := p.Member
	p.mu.Unlock()
	if !m.isHub.Load() || to.DataCentre != m.Self.DataCentre {
		return nil
	}
	var us []relay.Update
	for _, o := range m.Members() {
		if o.Name != "" && o.Name != m.Self.Name && o.Name != to.Name {
			us = append(us, m.requestsOf(o))
		}
	}
	return us
}

// requestsOf is an update with all works of a node.
func (m *Mesh) requestsOf(o relay.Member) relay.Update {
	u := relay.Update{From: o, Reset: true}
	for _, w := range m.InFlight.Of(o.Name) {
		u.Began = append(u.Began, relay.AgedRequest{Work: w})
	}
	return u
}

// forward passes an update on as far as it asks for. The ages of its works were
// turned into times by apply.
func (m *Mesh) forward(u relay.Update) {
	if u.Reach == relay.ScopePeer || u.Empty() {
		return
	}
	if u.Reach == relay.ScopeAll && !m.isHub.Load() {
		m.keepUnforwarded(u)
	}
	for _, p := range m.all() {
		p.mu.Lock()
		near, other, origin := p.DataCentre == m.Self.DataCentre, p.scope == relay.ScopeDataCentre, p.Name == u.From.Name
		p.mu.Unlock()
		if origin || !near && (u.Reach != relay.ScopeAll || !other) {
			continue
		}
		copied := copyOf(u, relay.ScopePeer)
		if !near {
			copied.Reach = relay.ScopeDataCentre
		}
		p.queue(len(u.Began)+len(u.Failed)+len(u.Struck) > 0, func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) })
	}
}

// copyOf copies what differs from peer to peer of an update.
func copyOf(u relay.Update, r relay.Scope) relay.Update {
	u.Began = slices.Clone(u.Began)
	u.Struck = slices.Clone(u.Struck)
	u.Reach = r
	return u
}

// maxUnforwarded bounds the updates that are kept.
const maxUnforwarded = 256

// keepUnforwarded keeps an update of a node that takes this one for its hub before
// this node knows that it is one.
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
