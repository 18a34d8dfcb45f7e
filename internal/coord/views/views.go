// Package views decides with which other nodes a node keeps connections, and over
// which nodes its updates reach all others. In a large fleet a node sees a part of
// it only, so that its cost depends on the size of its data centre and on the number
// of data centres, not on the size of the fleet.
package views

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// hubsPerDataCentre is the number of hubs in each data centre: nodes that
	// forward the updates of the others.
	hubsPerDataCentre = 2
	// Candidates is how many nodes of a data centre can take over as a hub or as a reader
	// of the store, or read it while the readers can't. They are the first ones in the
	// order of Sort. All nodes of the data centre keep connections to them, its hubs
	// watch them closely.
	Candidates = 4
)

// Member is a node of the fleet as another node sees it.
type Member struct {
	Name       ident.NodeName
	DataCentre ident.DataCentre
	// Cores is the CPU capacity of the node in cores; zero if unknown.
	Cores float64
	// Alive is set if the node was heard of recently and, as far as is known, can be
	// reached. Recent is set if it was heard of a moment ago, so that it is worth opening
	// a connection that broke again.
	Alive, Recent bool
	// Streams is set if the node takes the updates of its hub as a stream. Nodes of
	// older builds don't.
	Streams bool
}

// Sort sorts members by descending number of cores and then by name.
func Sort(ms []Member) {
	slices.SortFunc(ms, Compare)
}

// Compare orders two members as Sort does.
func Compare(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
}

// Plan is the part that one node has in passing on updates.
type Plan struct {
	// Hub is the hub of this node's data centre that forwards its updates to all
	// others. It is empty if this node is a hub, or if there is none.
	Hub   ident.NodeName
	IsHub bool
	// Group holds the nodes of the data centre to which this node, as a hub, sends
	// what it is told.
	Group ident.Set[ident.NodeName]
	// Siblings holds the other hubs of the data centre, which send to the rest of it.
	// It is empty if Group is the whole data centre.
	Siblings ident.Set[ident.NodeName]
	// RemoteHubs holds one hub of each other data centre.
	RemoteHubs ident.Set[ident.NodeName]
	// Watched holds the nodes that are watched closely: heartbeats are frequent and
	// timeouts short.
	Watched ident.Set[ident.NodeName]
	// Linked holds the nodes with which this node keeps a connection.
	Linked ident.Set[ident.NodeName]
}

// For returns the plan of the node self, which is one of the members. The members
// must be sorted by Sort.
func For(self Member, members []Member) Plan {
	p := Plan{
		Group: ident.Set[ident.NodeName]{}, Siblings: ident.Set[ident.NodeName]{}, RemoteHubs: ident.Set[ident.NodeName]{},
		Watched: ident.Set[ident.NodeName]{}, Linked: ident.Set[ident.NodeName]{},
	}
	byDataCentre := map[ident.DataCentre][]Member{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	local := byDataCentre[self.DataCentre]
	if len(onlyAlive(members)) <= 1 {
		// The connections of this node broke, or it has just started.
		p.linkAll(self, members)
	}
	hubs := hubsOf(local)
	p.IsHub = slices.ContainsFunc(hubs, func(m Member) bool { return m.Name == self.Name })
	if !p.IsHub {
		for _, m := range first(Candidates, local) {
			p.link(self, m)
		}
		p.planMember(self, hubs, members)
		return p
	}
	p.watch(self, first(Candidates, local))
	p.planGroup(self, hubs, local)
	for c, ms := range byDataCentre {
		if c == self.DataCentre {
			continue
		}
		p.watch(self, first(hubsPerDataCentre, ms))
		if h, ok := pick(self.Name, hubsOf(ms)); ok {
			p.RemoteHubs.Add(h.Name)
			p.Linked.Add(h.Name)
		}
	}
	return p
}

// planMember plans for a node that is no hub. A hub that can't send a stream doesn't
// tell which nodes are alive either, so the node then keeps connections to all of them.
func (p *Plan) planMember(self Member, hubs, members []Member) {
	h, ok := pick(self.Name, hubs)
	if !ok {
		p.linkAll(self, members)
		return
	}
	p.Hub = h.Name
	p.Watched.Add(h.Name)
	p.Linked.Add(h.Name)
	if !h.Streams {
		p.linkAll(self, members)
		p.watch(self, first(Candidates, members))
	}
}

// planGroup plans to which nodes of its data centre a hub sends. The hubs split them if
// all hubs know how to; otherwise each hub sends to all.
func (p *Plan) planGroup(self Member, hubs, local []Member) {
	split := !slices.ContainsFunc(hubs, func(m Member) bool { return !m.Streams })
	for _, h := range hubs {
		if split && h.Name != self.Name {
			p.Siblings.Add(h.Name)
			p.link(self, h)
		}
	}
	for _, m := range local {
		h, _ := pick(m.Name, hubs)
		if !m.Alive && !m.Recent || m.Name == self.Name || p.Siblings.Has(m.Name) || split && h.Name != self.Name {
			continue
		}
		p.Group.Add(m.Name)
		p.link(self, m)
	}
}

// watch adds nodes to those that are watched closely.
func (p *Plan) watch(self Member, ms []Member) {
	for _, m := range ms {
		if m.Name != self.Name {
			p.Watched.Add(m.Name)
			p.Linked.Add(m.Name)
		}
	}
}

// first returns the first n of the sorted nodes of a data centre that are alive, and the
// first n of all, so that a node whose connections broke finds the others again.
func first(n int, ms []Member) []Member {
	alive := onlyAlive(ms)
	return slices.Concat(ms[:min(n, len(ms))], alive[:min(n, len(alive))])
}

// onlyAlive returns the members that are alive.
func onlyAlive(ms []Member) []Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return !m.Alive })
}

func (p *Plan) linkAll(self Member, ms []Member) {
	for _, m := range ms {
		p.link(self, m)
	}
}

func (p *Plan) link(self, m Member) {
	if m.Name != self.Name {
		p.Linked.Add(m.Name)
	}
}

// hubsOf returns the hubs of a data centre: the first of its sorted nodes that are
// alive.
func hubsOf(ms []Member) []Member {
	alive := onlyAlive(ms)
	return alive[:min(hubsPerDataCentre, len(alive))]
}

// pick picks the hub of a node by a hash of the node's name. It returns false if there
// are none.
func pick(n ident.NodeName, hubs []Member) (Member, bool) {
	if len(hubs) == 0 {
		return Member{}, false
	}
	return hubs[xxhash.Sum64String(string(n))%uint64(len(hubs))], true
}
