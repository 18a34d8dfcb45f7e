package share

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/views"
	"laburnumstack.org/laburnum/pkg/ident"
)

// minReaders is the smallest number of readers if there are so many nodes alive.
const minReaders = 2

// relayFanout is the number of nodes that take a large configuration from the same
// node.
const relayFanout = 2

// Readers returns the addresses of the nodes that read the platform's store for
// the others: the first node alive of each data centre, that of this node's first,
// and further ones if there are fewer than minReaders.
func (m *Mesh) Readers(now time.Time) []string {
	var own, others, further []string
	seen := ident.Set[ident.DataCentre]{}
	for _, n := range m.aliveNodes(now) {
		switch {
		case seen.Has(n.DataCentre):
			further = append(further, n.Address)
		case n.DataCentre == m.Self.DataCentre:
			own = append(own, n.Address)
		default:
			others = append(others, n.Address)
		}
		seen.Add(n.DataCentre)
	}
	readers := append(own, others...)
	missing := max(0, minReaders-len(readers))
	return append(readers, further[:min(missing, len(further))]...)
}

// Backups returns the addresses of the nodes that read the platform's store if no
// reader can: the first nodes alive of this node's data centre. It also returns the
// index of this node in the order of its data centre.
func (m *Mesh) Backups(now time.Time) (addrs []string, rank int) {
	local := m.localNodes(now)
	for _, n := range local[:min(views.Candidates, len(local))] {
		addrs = append(addrs, n.Address)
	}
	return addrs, slices.IndexFunc(local, func(n knownNode) bool { return n.peer == nil })
}

// localNodes returns the nodes of aliveNodes in this node's data centre.
func (m *Mesh) localNodes(now time.Time) []knownNode {
	return slices.DeleteFunc(m.aliveNodes(now), func(n knownNode) bool { return n.DataCentre != m.Self.DataCentre })
}

// Nodes returns the nodes that share the limits of endpoints.
func (m *Mesh) Nodes(now time.Time) quota.Nodes {
	nodes := quota.Nodes{Self: m.Self.Name, Known: m.NodeCount()}
	for _, n := range m.aliveNodes(now) {
		nodes.Alive = append(nodes.Alive, n.Name)
	}
	return nodes
}

// Relays returns the addresses of the peers from which this node takes a large
// configuration, the nearest first. The nodes of a data centre form a tree in the
// order of known, so that no node sends it to more than relayFanout others. The
// first nodes, which have no relay, are as many as relayFanout.
func (m *Mesh) Relays(now time.Time) []string {
	local := m.localNodes(now)
	var relays []string
	i := slices.IndexFunc(local, func(n knownNode) bool { return n.peer == nil })
	for i >= relayFanout {
		i = i/relayFanout - 1
		relays = append(relays, local[i].Address)
	}
	return relays
}
