package share

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/views"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// DefaultHubThreshold is the value of Mesh.HubThreshold that nodes use.
const DefaultHubThreshold = 24

const (
	// maxProbes is the number of unknown nodes to which a node connects at one time, if
	// hubs are in use, to get their names.
	maxProbes = 8
	// maxUnforwarded bounds the number of updates kept by keepUnforwarded.
	maxUnforwarded = 256
	// maxHeldAge is the age up to which they are forwarded.
	maxHeldAge = 2 * watchedAliveTimeout
)

// usesHubs reports whether updates are sent through hubs.
func (m *Mesh) usesHubs() bool { return m.HubThreshold > 0 && m.NodeCount() >= m.HubThreshold }

// groupDelay returns how long a hub collects updates for its group.
func (m *Mesh) groupDelay() time.Duration {
	return min(maxGroupDelay, max(batchDelay, time.Duration(m.NodeCount())*groupDelayPerNode))
}

// replan chooses the hubs and sets to which peers this node keeps a connection, and which
// of them get its updates. Without hubs these are all peers.
func (m *Mesh) replan(now time.Time) {
	m.planning.Lock()
	defer m.planning.Unlock()
	useHubs := m.usesHubs()
	var plan views.Plan
	if useHubs {
		plan = m.plan(now)
	}
	var missed []heldUpdate
	if !m.isHub.Swap(plan.IsHub) && plan.IsHub {
		missed = m.takeUnforwarded(now)
	}
	m.delaysNonUrgent.Store(useHubs)
	probes := m.chooseProbes(useHubs)
	for _, p := range m.allPeers() {
		switch {
		case !useHubs:
			p.setRole(role{linked: true, direct: true, watched: true}, now)
		case p.name() == "":
			p.setRole(role{linked: probes.Has(p.address), watched: true}, now)
		default:
			p.setRole(m.roleOf(p.name(), &plan), now)
		}
	}
	for _, u := range missed {
		m.forward(u.Update)
	}
}

// plan returns this node's role in the forwarding of updates.
func (m *Mesh) plan(now time.Time) views.Plan {
	var ms []views.Member
	var self views.Member
	for _, n := range m.known(now) {
		ms = append(ms, n.view())
		if n.peer == nil {
			self = n.view()
		}
	}
	return views.For(self, ms)
}

// roleOf returns the role of a peer by the plan of this node.
func (m *Mesh) roleOf(n ident.NodeName, plan *views.Plan) role {
	r := role{linked: plan.Linked.Has(n), watched: plan.Watched.Has(n), direct: true}
	switch {
	case plan.Hub != "" && n == plan.Hub:
		r.scope = relay.ScopeAll
	case plan.RemoteHubs.Has(n):
		r.scope = relay.ScopeDataCentre
	case plan.Siblings.Has(n):
		r.scope = relay.ScopeGroup
	case plan.Group.Has(n):
		r.grouped = true
	default:
		r.direct = false
	}
	return r
}

// chooseProbes returns the addresses of the unknown nodes to connect to: those that were
// not tried for the longest time.
func (m *Mesh) chooseProbes(useHubs bool) ident.Set[string] {
	if !useHubs {
		return nil
	}
	type candidate struct {
		address string
		triedAt time.Time
	}
	var unknown []candidate
	for _, p := range m.allPeers() {
		p.mu.Lock()
		if p.Name == "" {
			unknown = append(unknown, candidate{p.address, p.failedAt})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(unknown, func(a, b candidate) int {
		return cmp.Or(a.triedAt.Compare(b.triedAt), cmp.Compare(a.address, b.address))
	})
	chosen := ident.Set[string]{}
	for _, c := range unknown[:min(maxProbes, len(unknown))] {
		chosen.Add(c.address)
	}
	return chosen
}

// othersFor returns updates with the requests in flight of other nodes that this hub sends to
// a peer. The caller must not hold p.mu.
func (m *Mesh) othersFor(p *peer) []relay.Update {
	p.mu.Lock()
	r, receiver := p.role, p.Member
	p.mu.Unlock()
	if r.grouped || r.scope == relay.ScopeGroup || r.scope == relay.ScopeDataCentre {
		return m.requestsOfOthers(receiver, r.scope)
	}
	return nil
}

// requestsOfOthers returns updates with the requests in flight of the other nodes that a hub
// sends to a receiver. The nodes of its group get those of all nodes. Other hubs get those of the
// nodes that send to this hub, since those of the others reach them earlier over another path.
// Nodes whose requests this hub doesn't know completely are left out.
func (m *Mesh) requestsOfOthers(receiver relay.Member, scope relay.Scope) []relay.Update {
	if !m.isHub.Load() {
		return nil
	}
	var us []relay.Update
	for _, o := range m.Members() {
		seq, complete := m.InFlight.Seq(o.Name)
		if o.Name == "" || o.Name == m.Self.Name || o.Name == receiver.Name || !complete {
			continue
		}
		if scope != relay.ScopePeer && !m.isEntry(o.Name) || scope == relay.ScopeDataCentre && o.DataCentre != m.Self.DataCentre {
			continue
		}
		u := m.requestsOf(o)
		u.Copied, u.Seq, u.Reach = true, seq, scope
		us = append(us, u)
	}
	return us
}

// setEntry records whether the updates of a node reach this node's data centre here, or over
// another hub.
func (m *Mesh) setEntry(n ident.NodeName, here bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if here {
		m.entries.Add(n)
		return
	}
	delete(m.entries, n)
}

func (m *Mesh) isEntry(n ident.NodeName) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries.Has(n)
}

// requestsOf returns an update with all requests in flight of a node.
func (m *Mesh) requestsOf(o relay.Member) relay.Update {
	u := relay.Update{From: o, Reset: true}
	for _, w := range m.InFlight.ByNode(o.Name) {
		u.Began = append(u.Began, relay.AgedRequest{Work: w})
	}
	return u
}

// forward queues an update of another node for the nodes in its scope. Its ages
// must have been converted to times by apply.
func (m *Mesh) forward(u relay.Update) {
	if u.Reach == relay.ScopePeer || u.Empty() {
		return
	}
	if !m.isHub.Load() {
		m.keepUnforwarded(u)
		if u.Reach == relay.ScopeAll {
			m.redirect(u)
		}
		return
	}
	urgent := len(u.Began)+len(u.Failed)+len(u.Broke)+len(u.Struck)+len(u.Proofs)+len(u.Trials)+len(u.Limits)+len(u.Stated)+len(u.Rests)+len(u.Orphans) > 0
	m.queueFor(urgent, func(p *peer) func(*relay.Update) {
		scope := relay.ScopePeer
		if p != nil {
			scope = p.scope
		}
		switch {
		case p != nil && p.Name == u.From.Name,
			scope == relay.ScopeDataCentre && u.Reach != relay.ScopeAll && u.Reach != relay.ScopeRedirected,
			scope == relay.ScopeGroup && u.Reach == relay.ScopeGroup:
			return nil
		}
		copied := copyOf(u, scope)
		return func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) }
	})
}

// redirect queues an update for the hub of this node: its sender took this node for a hub.
func (m *Mesh) redirect(u relay.Update) {
	m.queueFor(true, func(p *peer) func(*relay.Update) {
		if p == nil || p.scope != relay.ScopeAll || p.Name == u.From.Name {
			return nil
		}
		copied := copyOf(u, relay.ScopeRedirected)
		return func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) }
	})
}

// queueFor queues a change for the peers that get this node's updates directly. change is
// called with each of them, while its lock is held, and with nil for all those that get
// them as a stream; it returns nil if there is nothing to send.
func (m *Mesh) queueFor(urgent bool, change func(*peer) func(*relay.Update)) {
	streaming := false
	for _, p := range m.allPeers() {
		p.mu.Lock()
		switch {
		case !p.direct:
			p.mu.Unlock()
		case p.outlet != nil:
			streaming = true
			p.mu.Unlock()
		default:
			add := change(p)
			p.mu.Unlock()
			if add != nil {
				p.queue(urgent, add)
			}
		}
	}
	if !streaming {
		return
	}
	if add := change(nil); add != nil {
		m.fanout.queue(urgent, add)
	}
}

// copyOf returns a copy of an update with another scope. It copies the slices
// whose elements setAges changes for each peer.
func copyOf(u relay.Update, r relay.Scope) relay.Update {
	u.Began = slices.Clone(u.Began)
	u.Struck = slices.Clone(u.Struck)
	u.Proofs = slices.Clone(u.Proofs)
	u.Parts = slices.Clone(u.Parts)
	u.Trials = slices.Clone(u.Trials)
	u.Limits = slices.Clone(u.Limits)
	u.Rests = slices.Clone(u.Rests)
	u.Decided = slices.Clone(u.Decided)
	u.Reach = r
	return u
}

// heldUpdate is an update kept by keepUnforwarded.
type heldUpdate struct {
	relay.Update
	receivedAt time.Time
}

// keepUnforwarded keeps an update in case this node becomes a hub soon: another node may
// choose this node as its hub before this node has found out that it is one. At
// maxUnforwarded updates, it drops the oldest.
func (m *Mesh) keepUnforwarded(u relay.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.unforwarded) == maxUnforwarded {
		m.unforwarded = m.unforwarded[1:]
	}
	m.unforwarded = append(m.unforwarded, heldUpdate{copyOf(u, u.Reach), time.Now()})
}

// takeUnforwarded returns the updates that were kept, except those older than maxHeldAge,
// which may be outdated.
func (m *Mesh) takeUnforwarded(now time.Time) []heldUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	us := m.unforwarded
	m.unforwarded = nil
	return slices.DeleteFunc(us, func(u heldUpdate) bool { return now.Sub(u.receivedAt) > maxHeldAge })
}
