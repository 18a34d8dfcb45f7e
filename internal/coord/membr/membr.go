// Package membr keeps one node's view of the other nodes, which it learns from
// their heartbeats.
package membr

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// State is the state of a node as seen by another one.
type State string

// States of a node.
const (
	// Alive nodes sent a heartbeat recently.
	Alive State = "alive"
	// Leaving nodes announced a graceful shutdown.
	Leaving State = "leaving"
	// Suspect nodes have sent no heartbeat for suspectAfter.
	Suspect State = "suspect"
	// Dead nodes have sent no heartbeat for DeadAfter.
	Dead State = "dead"
)

const (
	// suspectAfter is the time without a heartbeat after which a node becomes
	// suspect.
	suspectAfter = 3 * time.Second
	// DeadAfter is the time without a heartbeat after which a node counts as
	// dead.
	DeadAfter = 6 * time.Second
	// forgetAfter is the time without a heartbeat after which a node is removed.
	forgetAfter = 5 * time.Minute
)

// Member is what a node announces about itself.
type Member struct {
	Name ident.NodeName
	// Boot identifies a run of the node; later runs have greater values.
	Boot int64
	// Peer, Admin and Caller are the addresses at which the node serves other
	// nodes, operators and callers.
	Peer       string
	Admin      string
	Caller     string
	DataCentre ident.DataCentre
	// Version is the version of the node's configuration.
	Version ident.Version
	Leaving bool
}

// Entry is a member with its state and the time of its last heartbeat.
type Entry struct {
	Member
	State State
	Heard time.Time
}

// Change is a change of a member's state. From is empty for a new member.
type Change struct {
	Name     ident.NodeName
	From, To State
}

// Table holds one node's view of the members. It is not safe for concurrent use.
type Table struct {
	entries map[ident.NodeName]*Entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[ident.NodeName]*Entry{}} }

// RecordHeartbeat records a heartbeat that came from the member itself and
// returns the change of the member's state, if there is one. A heartbeat of an
// earlier boot is ignored.
func (t *Table) RecordHeartbeat(m Member, now time.Time) []Change {
	e, ok := t.entries[m.Name]
	if ok && m.Boot < e.Boot {
		return nil
	}
	to := Alive
	if m.Leaving {
		to = Leaving
	}
	if !ok {
		t.entries[m.Name] = &Entry{m, to, now}
		return []Change{{m.Name, "", to}}
	}
	from := e.State
	*e = Entry{m, to, now}
	if from == to {
		return nil
	}
	return []Change{{m.Name, from, to}}
}

// Tick updates the states by the time since each member's last heartbeat,
// removes members after forgetAfter and returns the changes of state.
func (t *Table) Tick(now time.Time) []Change {
	var cs []Change
	for _, n := range ident.SortedKeys(t.entries) {
		e := t.entries[n]
		silence := now.Sub(e.Heard)
		if silence > forgetAfter {
			delete(t.entries, n)
			continue
		}
		if to := stateAfter(e.State, silence); to != e.State {
			cs = append(cs, Change{n, e.State, to})
			e.State = to
		}
	}
	return cs
}

func stateAfter(s State, silence time.Duration) State {
	switch {
	case silence > DeadAfter:
		return Dead
	case silence > suspectAfter && s == Alive:
		return Suspect
	default:
		return s
	}
}

// Get returns the entry of a member, if there is one.
func (t *Table) Get(n ident.NodeName) (Entry, bool) {
	e, ok := t.entries[n]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all members sorted by name.
func (t *Table) Entries() []Entry {
	es := make([]Entry, 0, len(t.entries))
	for _, n := range ident.SortedKeys(t.entries) {
		es = append(es, *t.entries[n])
	}
	return es
}
