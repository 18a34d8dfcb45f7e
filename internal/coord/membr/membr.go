// Package membr keeps the view that one node has of the others, from
// heartbeats and from the lagging VM list.
package membr

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// State tells what is known of a node.
type State string

// States of a node.
const (
	// Alive nodes were heard of lately.
	Alive State = "alive"
	// Leaving nodes are in a planned stop.
	Leaving State = "leaving"
	// Suspect nodes missed heartbeats.
	Suspect State = "suspect"
	// Dead nodes were not heard of for long.
	Dead State = "dead"
)

const (
	// suspectAfter is the silence after which a node is suspected.
	suspectAfter = 3 * time.Second
	// deadAfter is the silence after which a node counts as dead.
	deadAfter = 6 * time.Second
	// forgetAfter is the silence after which a node is forgotten.
	forgetAfter = 5 * time.Minute
)

// Member is what one node tells of itself.
type Member struct {
	Name ident.NodeName
	// Boot tells the runs of a node apart; later ones are greater.
	Boot       int64
	Peer       string
	Admin      string
	Caller     string
	DataCentre ident.DataCentre
	Version    ident.Version
	Leaving    bool
}

// Entry is a member with its state.
type Entry struct {
	Member
	State State
	Heard time.Time
}

// Change is a transition of a member.
type Change struct {
	Name     ident.NodeName
	From, To State
}

// Table is the view of one node. It is not safe for concurrent use.
type Table struct {
	entries map[ident.NodeName]*Entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[ident.NodeName]*Entry{}} }

// Heard takes a heartbeat that came from the member itself. One from an
// earlier boot is ignored.
func (t *Table) Heard(m Member, now time.Time) []Change {
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

// Tick ages the entries.
func (t *Table) Tick(now time.Time) []Change {
	var cs []Change
	for _, n := range ident.SortedKeys(t.entries) {
		e := t.entries[n]
		silence := now.Sub(e.Heard)
		if silence > forgetAfter {
			delete(t.entries, n)
			continue
		}
		if to := aged(e.State, silence); to != e.State {
			cs = append(cs, Change{n, e.State, to})
			e.State = to
		}
	}
	return cs
}

func aged(s State, silence time.Duration) State {
	switch {
	case silence > deadAfter:
		return Dead
	case silence > suspectAfter && s == Alive:
		return Suspect
	default:
		return s
	}
}

// Get returns what is known of a member.
func (t *Table) Get(n ident.NodeName) (Entry, bool) {
	e, ok := t.entries[n]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all members by name.
func (t *Table) Entries() []Entry {
	es := make([]Entry, 0, len(t.entries))
	for _, n := range ident.SortedKeys(t.entries) {
		es = append(es, *t.entries[n])
	}
	return es
}
