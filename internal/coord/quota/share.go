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

// Share returns the part of the rate of an endpoint that this node may use. The
// users of a rate are the nodes with the highest hashes, so that all nodes choose
// the same ones. A node that can't reach most of the others takes an equal part,
// which is within the rate whatever the others do.
func (n Nodes) Share(k Key, rate float64) float64 {
	if 2*len(n.Alive) < n.Known {
		return rate / float64(n.Known)
	}
	users := int(min(max(1, rate/minShare), float64(len(n.Alive))))
	hashes := make([]uint64, len(n.Alive))
	for i, a := range n.Alive {
		hashes[i] = rank(k, a)
	}
	slices.SortFunc(hashes, func(a, b uint64) int { return cmp.Compare(b, a) })
	if rank(k, n.Self) < hashes[users-1] {
		return 0
	}
	return rate / float64(users)
}

func rank(k Key, n ident.NodeName) uint64 {
	return xxhash.Sum64String(string(k.Endpoint) + "\x00" + string(n))
}
