// Package pace bounds the requests to endpoints that have just started or recovered. A cold
// endpoint gets a number of requests per second from all nodes together (Cold), an endpoint
// in slow start a number of concurrent ones (Slow). The nodes share both without a message
// per request: each knows its part by its rank among the members that it knows.
package pace

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// settleTime is how long a node waits until it relies on what it knows of the members:
	// after it first heard of them, and after their number grew by more than
	// 1/growthDivisor. Nodes that start together hear of each other within that time.
	settleTime    = 3 * time.Second
	growthDivisor = 4
	// unknownMembers is the number of members that a node assumes until it is informed.
	unknownMembers = 64
)

// Members are the nodes as one of them knows them. Nodes are identified by their addresses,
// of which a node knows that of a member before its name.
type Members struct {
	Self ident.NodeName
	// Known holds the addresses of the nodes that run, Self included, and of those that were
	// silent for too short a time to be forgotten. The parts of nodes that don't run are
	// lost, but nodes that can't reach each other still agree on theirs.
	Known []ident.NodeName
	// Alive is the number of nodes heard of lately, this one included.
	Alive int
	// IsInformed is set once the node has read the list of members, or a peer has told of
	// itself.
	IsInformed bool
}

// View is what a node knows of the members over time. It is not safe for concurrent use.
type View struct {
	nodes quota.Nodes
	alive int
	// version changes with the known members.
	version uint64
	// settledAt is from when on the node relies on the view; zero while it is not informed.
	settledAt time.Time
	// base is the number of known members at baseAt.
	base   int
	baseAt time.Time
}

// Update records what the node knows of the members now.
func (v *View) Update(m Members, now time.Time) {
	slices.Sort(m.Known)
	if v.version == 0 || v.nodes.Self != m.Self || !slices.Equal(v.nodes.Alive, m.Known) {
		v.version++
		v.nodes = quota.Nodes{Self: m.Self, Alive: m.Known, Known: len(m.Known)}
	}
	v.alive = m.Alive
	n := len(m.Known)
	switch {
	case !m.IsInformed:
		v.settledAt = time.Time{}
	case v.settledAt.IsZero(), n-v.base > max(1, v.base/growthDivisor):
		v.settledAt = now.Add(settleTime)
	case now.Sub(v.baseAt) < settleTime:
		return
	}
	v.base, v.baseAt = n, now
}

// IsSettled reports whether the node relies on the view.
func (v *View) IsSettled(now time.Time) bool {
	return !v.settledAt.IsZero() && !now.Before(v.settledAt)
}

// Size returns the number of known members, at least one.
func (v *View) Size() int { return max(1, len(v.nodes.Alive)) }

// sharers returns the number of members that share the bounds of endpoints in slow start.
func (v *View) sharers() int {
	if v.settledAt.IsZero() {
		return max(unknownMembers, v.Size())
	}
	return v.Size()
}

// rankCache holds the rank of this node for an endpoint.
type rankCache struct {
	version uint64
	rank    int
}

// rank returns the number of known members that come before this node for an endpoint.
func (v *View) rank(k quota.Key, c *rankCache) int {
	if c.version != v.version || v.version == 0 {
		c.version, c.rank = v.version, v.nodes.Rank(k)
	}
	return c.rank
}

// part returns the part of whole that the member with the given rank has. The parts of all members
// add up to whole.
func part(whole, members, rank int) int {
	n := whole / members
	if rank < whole%members {
		n++
	}
	return n
}
