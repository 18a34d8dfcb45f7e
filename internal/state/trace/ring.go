package trace

import (
	"slices"
	"sync"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Ring is a ring buffer of the newest events of one node. It is safe for
// concurrent use.
type Ring struct {
	Node  ident.NodeName
	Clock *Clock

	mu     sync.Mutex
	events []Event
	// head is the index of the oldest event once the ring is full.
	head int
	size int
}

// NewRing returns a ring that holds up to size events.
func NewRing(n ident.NodeName, c *Clock, size int) *Ring {
	return &Ring{Node: n, Clock: c, size: size}
}

// Add stamps and stores an event. r is empty if the event is about no request.
func (g *Ring) Add(k Kind, r ident.RequestID, text string) {
	e := Event{Stamp: g.Clock.Now(), Node: g.Node, Kind: k, Request: r, Text: text}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.events) < g.size {
		g.events = append(g.events, e)
		return
	}
	g.events[g.head] = e
	g.head = (g.head + 1) % g.size
}

// Filter selects events. A zero field does not restrict the selection.
type Filter struct {
	Request ident.RequestID
	// Limit is the maximum number of events; the newest are selected.
	Limit int
}

// Select returns the events that match, in the order in which they were added.
func (g *Ring) Select(f Filter) []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	var es []Event
	for i := range g.events {
		e := g.events[(g.head+i)%len(g.events)]
		if f.Request == "" || e.Request == f.Request {
			es = append(es, e)
		}
	}
	if f.Limit > 0 && len(es) > f.Limit {
		es = es[len(es)-f.Limit:]
	}
	return es
}

// Merge merges the events of several nodes by their stamps, so that causes
// precede their effects.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int { return a.Stamp.Compare(b.Stamp) })
	return all
}
