package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// DefaultHubsFrom is the default of Mesh.HubsFrom.
const DefaultHubsFrom = 24

const (
	// hubsEach is the number of nodes of a data centre that pass updates on.
	hubsEach = 2
	// candidates is the number of nodes that are watched closely, so that one
	// of them can take over as hub or as reader of the store.
	candidates = 4
)

// hubs reports whether updates go through a few nodes of each data centre.
func (m *Mesh) hubs() bool { return m.HubsFrom > 0 && m.Nodes() >= m.HubsFrom }

// contact is a node as the choice of hubs sees it. Peer is nil for this node.
type contact struct {
	relay.Member
	alive bool
	peer  *peer
}

// connected returns this node and the peers that it is connected to, the
// strongest first, and in the order of their names among equals.
func (m *Mesh) connected(now time.Time) []contact {
	ns := []contact{{m.Self, true, nil}}
	for _, p := range m.all() {
		p.mu.Lock()
		if p.Name != "" && p.client != nil {
			ns = append(ns, contact{p.Member, now.Sub(p.heard) < p.aliveFor(), p})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(ns, func(a, b contact) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	return ns
}

// topology is who passes updates on for whom.
type topology struct {
	// hub passes this node's updates on in its data centre; nil if this node
	// is a hub itself.
	hub *peer
	// others are the hubs that this node uses in other data centres, if it is a
	// hub.
	others map[*peer]bool
	// close are the nodes that are watched closely.
	close map[*peer]bool
}

// plan chooses the hubs. The choices of all nodes spread over the hubs of a
// data centre.
func (m *Mesh) plan(ns []contact) topology {
	t := topology{others: map[*peer]bool{}, close: map[*peer]bool{}}
	watch := func(list []contact) {
		for _, n := range list[:min(candidates, len(list))] {
			t.close[n.peer] = true
		}
	}
	watch(ns)
	centres := map[ident.DataCentre][]contact{}
	for _, n := range ns {
		centres[n.DataCentre] = append(centres[n.DataCentre], n)
	}
	own := centres[m.Self.DataCentre]
	watch(own)
	chosen := hubsOf(own)
	if !slices.ContainsFunc(chosen, func(n contact) bool { return n.peer == nil }) {
		t.hub = m.pickHub(chosen)
		return t
	}
	for c, list := range centres {
		if c == m.Self.DataCentre {
			continue
		}
		watch(list)
		if p := m.pickHub(hubsOf(list)); p != nil {
			t.others[p] = true
		}
	}
	return t
}

// hubsOf returns the first nodes alive.
func hubsOf(ns []contact) []contact {
	alive := slices.DeleteFunc(slices.Clone(ns), func(n contact) bool { return !n.alive })
	return alive[:min(hubsEach, len(alive))]
}

func (m *Mesh) pickHub(hubs []contact) *peer {
	if len(hubs) == 0 {
		return nil
	}
	return hubs[xxhash.Sum64String(string(m.Self.Name))%uint64(len(hubs))].peer
}

// chooseHubs chooses the peers that are told directly: without hubs all; else
// the hub of this node, or for a hub all nodes of its data centre and one hub
// of each other.
func (m *Mesh) chooseHubs(now time.Time) {
	hubs := m.hubs()
	var t topology
	if hubs {
		t = m.plan(m.connected(now))
	}
	passes := hubs && t.hub == nil
	var missed []relay.Update
	if !m.passing.Swap(passes) && passes {
		missed = m.takeUnpassed()
	}
	m.lazy.Store(hubs)
	for _, p := range m.all() {
		p.mu.Lock()
		near := p.DataCentre == "" || p.DataCentre == m.Self.DataCentre
		told := !hubs || p == t.hub || t.hub == nil && (near || t.others[p])
		if told && !p.told && p.client != nil {
			whole := m.whole(true)
			whole.Forwarded = p.pending.Forwarded
			p.pending = whole
			p.rouse()
		}
		if t.others[p] && p.client != nil && len(missed) > 0 {
			for _, u := range missed {
				p.pending.Forwarded = append(p.pending.Forwarded, copyOf(u, relay.ReachCentre))
			}
			p.rouse()
		}
		watched := !hubs || t.close[p] || p.Name == ""
		if watched && !p.close {
			// It may have been heard too long ago to count as alive.
			p.rouse()
		}
		p.told, p.close, p.reach = told, watched, relay.ReachPeer
		if hubs && p == t.hub {
			p.reach = relay.ReachAll
		}
		if t.others[p] {
			p.reach = relay.ReachCentre
		}
		p.mu.Unlock()
	}
}

// known returns what this node knows of the works of others, for a node of its
// data centre that it passes updates on to.
func (m *Mesh) known(p *peer) []relay.Update {
	p.mu.Lock()
	to := p.Member
	p.mu.Unlock()
	if !m.passing.Load() || to.DataCentre != m.Self.DataCentre {
		return nil
	}
	var us []relay.Update
	for _, o := range m.Members() {
		if o.Name != "" && o.Name != m.Self.Name && o.Name != to.Name {
			us = append(us, m.worksOf(o))
		}
	}
	return us
}

// worksOf is an update with all works of a node.
func (m *Mesh) worksOf(o relay.Member) relay.Update {
	u := relay.Update{From: o, Reset: true}
	for _, w := range m.Works.ByNode(o.Name) {
		u.Began = append(u.Began, relay.WorkNote{Work: w})
	}
	return u
}

// pass passes an update on as far as it asks for. The ages of its works were
// turned into times by apply.
func (m *Mesh) pass(u relay.Update) {
	if u.Reach == relay.ReachPeer || u.Empty() {
		return
	}
	if u.Reach == relay.ReachAll && !m.passing.Load() {
		m.keepUnpassed(u)
	}
	for _, p := range m.all() {
		p.mu.Lock()
		near, other, origin := p.DataCentre == m.Self.DataCentre, p.reach == relay.ReachCentre, p.Name == u.From.Name
		p.mu.Unlock()
		if origin || !near && (u.Reach != relay.ReachAll || !other) {
			continue
		}
		copied := copyOf(u, relay.ReachPeer)
		if !near {
			copied.Reach = relay.ReachCentre
		}
		p.queue(len(u.Began)+len(u.Failed)+len(u.Struck) > 0, func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) })
	}
}

// copyOf copies what differs from peer to peer of an update.
func copyOf(u relay.Update, r relay.Reach) relay.Update {
	u.Began = slices.Clone(u.Began)
	u.Struck = slices.Clone(u.Struck)
	u.Reach = r
	return u
}

// mostUnpassed bounds the updates that are kept.
const mostUnpassed = 256

// keepUnpassed keeps an update of a node that takes this one for its hub before
// this node knows that it is one.
func (m *Mesh) keepUnpassed(u relay.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.unpassed) == mostUnpassed {
		m.unpassed = m.unpassed[1:]
	}
	m.unpassed = append(m.unpassed, copyOf(u, relay.ReachCentre))
}

func (m *Mesh) takeUnpassed() []relay.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	us := m.unpassed
	m.unpassed = nil
	return us
}
