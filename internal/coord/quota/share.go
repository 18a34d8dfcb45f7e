package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/pkg/ident"
)

// minShare is the smallest part of a rate, in requests per second, that is given to
// a node if the rate suffices for it: with a smaller part, a node would leave more of
// it unused.
const minShare = 1.0

// Nodes are the nodes that share a rate, as one of them knows them.
type Nodes struct {
	Self ident.NodeName
	// Alive are the nodes that are alive, in any order, this one included.
	Alive []ident.NodeName
	// Known is the number of nodes including those that are silent.
	Known int
}

// Share returns the part of the rate of an endpoint that this node may use. A node
// that can't reach most of the others takes an equal part, which is within the rate
// whatever the others do.
func (n Nodes) Share(k Key, rate float64) float64 {
	if n.IsCutOff() {
		return rate / float64(n.Known)
	}
	users := n.Users(k, rate)
	if !slices.Contains(users, n.Self) {
		return 0
	}
	return rate / float64(len(users))
}

// Users returns the nodes that have a share of the rate of an endpoint: those with
// the highest hashes, so that all nodes choose the same ones. It returns none if this
// node can't reach most of the others.
func (n Nodes) Users(k Key, rate float64) []ident.NodeName {
	if n.IsCutOff() {
		return nil
	}
	names := n.byRank(k)
	return names[:int(min(max(1, rate/minShare), float64(len(names))))]
}

// byRank returns the nodes that are alive, those with the highest hashes first.
func (n Nodes) byRank(k Key) []ident.NodeName {
	names := slices.Clone(n.Alive)
	slices.SortFunc(names, func(a, b ident.NodeName) int { return cmp.Compare(rank(k, b), rank(k, a)) })
	return names
}

// IsFirst reports whether this node is the one for a subject among those that it knows to be
// alive.
func (n Nodes) IsFirst(subject string) bool {
	k := Key{Endpoint: ident.EndpointName(subject)}
	own := rank(k, n.Self)
	return !slices.ContainsFunc(n.Alive, func(o ident.NodeName) bool { return o != n.Self && rank(k, o) > own })
}

// Rank returns the number of the nodes alive that have a higher hash of an endpoint than this
// one.
func (n Nodes) Rank(k Key) int {
	own, higher := rank(k, n.Self), 0
	for _, o := range n.Alive {
		if o != n.Self && rank(k, o) > own {
			higher++
		}
	}
	return higher
}

// Slot returns a number in [0,count) for an endpoint and this node, which doesn't depend on the
// other nodes.
func (n Nodes) Slot(k Key, count int) int { return int(rank(k, n.Self) % uint64(max(1, count))) }

// IsCutOff reports whether this node reaches less than half of the nodes.
func (n Nodes) IsCutOff() bool { return 2*len(n.Alive) < n.Known }

func rank(k Key, n ident.NodeName) uint64 {
	return xxhash.Sum64String(string(k.Endpoint) + "\x00" + string(n))
}
