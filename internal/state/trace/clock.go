// Package trace keeps the events of one node in bounded memory, merges the
// events of several nodes, and finds the log lines about a request, an endpoint
// or a configuration version.
package trace

import (
	"cmp"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Stamp is a hybrid logical timestamp: a stamp issued after another one was
// observed is greater, however far the clocks of the VMs differ.
type Stamp struct {
	// Wall is the Unix time in milliseconds.
	Wall int64
	// Tick orders stamps with the same Wall.
	Tick uint32
}

// Compare returns -1, 0 or +1, as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Tick, o.Tick)
}

// Time returns the stamp's wall time.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall) }

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp greater than all that were issued or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextStamp(c.last, time.Now().UnixMilli())
	return c.last
}

// Observe moves the clock past a stamp that came from another node.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

func nextStamp(last Stamp, wall int64) Stamp {
	if wall > last.Wall {
		return Stamp{Wall: wall}
	}
	return Stamp{Wall: last.Wall, Tick: last.Tick + 1}
}

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	Arrived    Kind = "arrived"     // a request arrived from a caller
	Refused    Kind = "refused"     // the node rejected a request
	Admitted   Kind = "admitted"    // the node admitted a prompt
	Chosen     Kind = "chosen"      // an attempt at an endpoint started
	FirstToken Kind = "first-token" // the first token of an answer arrived
	Retried    Kind = "retried"     // a failed attempt is followed by a new one
	Resumed    Kind = "resumed"     // an answer is continued by a new attempt
	Reserved   Kind = "reserved"    // memory was reserved on several engines
	Released   Kind = "released"    // reserved memory was released
	Claimed    Kind = "claimed"     // a request's idempotency key was claimed, by it or by an earlier request
	Struck     Kind = "struck"      // an endpoint crashed with a request in flight
	Ended      Kind = "ended"       // a request ended
	Config     Kind = "config"      // a patch was decided or a version came from a peer
	Member     Kind = "member"      // the state of another node changed
	Endpoint   Kind = "endpoint"    // the state of an endpoint changed
	Platform   Kind = "platform"    // the log stopped answering or answers again
	Stopping   Kind = "stopping"    // the node begins a graceful shutdown
	Lease      Kind = "lease"       // the node got or lost the lease
	Ordered    Kind = "ordered"     // an order was sent to an engine
)

// Event is a decision or observation of a node.
type Event struct {
	Stamp   Stamp
	Node    ident.NodeName
	Kind    Kind
	Request ident.RequestID `json:",omitempty"`
	// Text describes the event, with its reason and figures.
	Text string
}
