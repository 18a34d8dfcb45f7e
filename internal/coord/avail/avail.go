// Package avail holds what endpoints state in their answers about whether they accept
// requests. An endpoint that leaves wants none of any node; one that asks a node for rest
// wants none of that node for a time.
package avail

import (
	"maps"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// keepTime is how long it is known that an endpoint left after its record is gone: a
	// source that comes back as an older copy lists it again.
	keepTime = time.Minute
	// maxKept bounds the number of endpoints that left and are gone.
	maxKept = 4096
)

// State is what an endpoint states to all nodes.
type State struct {
	quota.Key
	// Leaving is set if the endpoint is leaving; it gets no more requests. Nodes of
	// older builds also announce states without it.
	Leaving bool
}

// Rest is the time for which an endpoint wants no requests of one node.
type Rest struct {
	quota.Key
	Node ident.NodeName
	// Until is the end of the rest.
	Until time.Time
}

// Table holds the statements of endpoints. It is not safe for concurrent use.
type Table struct {
	// leaving holds the endpoints that are leaving, with the time since which they don't
	// exist; zero while they do.
	leaving map[quota.Key]time.Time
	// rests holds for each endpoint the ends of its rests by the node that was asked.
	rests map[quota.Key]map[ident.NodeName]time.Time
}

// Record adds what an endpoint stated to all nodes. It reports whether that is news.
func (t *Table) Record(s State) bool {
	if !s.Leaving || t.Leaves(s.Key) {
		return false
	}
	if t.leaving == nil {
		t.leaving = map[quota.Key]time.Time{}
	}
	t.leaving[s.Key] = time.Time{}
	return true
}

// RecordRest adds a rest, unless a longer one is known. It reports whether that is news.
func (t *Table) RecordRest(r Rest, now time.Time) bool {
	if !r.Until.After(now) || !r.Until.After(t.rests[r.Key][r.Node]) {
		return false
	}
	if t.rests == nil {
		t.rests = map[quota.Key]map[ident.NodeName]time.Time{}
	}
	if t.rests[r.Key] == nil {
		t.rests[r.Key] = map[ident.NodeName]time.Time{}
	}
	t.rests[r.Key][r.Node] = r.Until
	return true
}

// Leaves reports whether an endpoint is leaving.
func (t *Table) Leaves(k quota.Key) bool {
	_, ok := t.leaving[k]
	return ok
}

// RestFor returns how long an endpoint still wants no requests of a node.
func (t *Table) RestFor(k quota.Key, n ident.NodeName, now time.Time) time.Duration {
	return max(0, t.rests[k][n].Sub(now))
}

// Accepts reports whether an endpoint accepts requests of a node.
func (t *Table) Accepts(k quota.Key, n ident.NodeName, now time.Time) bool {
	return !t.Leaves(k) && t.RestFor(k, n, now) == 0
}

// RestsForAny reports whether an endpoint wants no requests of some node.
func (t *Table) RestsForAny(k quota.Key, now time.Time) bool {
	for _, until := range t.rests[k] {
		if until.After(now) {
			return true
		}
	}
	return false
}

// Len returns the number of statements, where the rests of one endpoint count as one.
func (t *Table) Len() int { return len(t.leaving) + len(t.rests) }

// States returns what endpoints stated to all nodes, for a new peer.
func (t *Table) States() []State {
	ss := make([]State, 0, len(t.leaving))
	for k := range t.leaving {
		ss = append(ss, State{Key: k, Leaving: true})
	}
	return ss
}

// Rests returns the rests of all nodes, for a new peer.
func (t *Table) Rests() []Rest {
	rs := make([]Rest, 0, len(t.rests))
	for k, byNode := range t.rests {
		for n, until := range byNode {
			rs = append(rs, Rest{Key: k, Node: n, Until: until})
		}
	}
	return rs
}

// Expire drops the rests that have ended, and what endpoints stated that don't exist. That an
// endpoint left is kept for some time, unless its next start would look the same.
func (t *Table) Expire(now time.Time, exists func(quota.Key) bool) {
	kept := 0
	for k, goneSince := range t.leaving {
		switch {
		case exists(k):
			t.leaving[k] = time.Time{}
		case k.Born == 0 || kept == maxKept || !goneSince.IsZero() && now.Sub(goneSince) >= keepTime:
			delete(t.leaving, k)
		default:
			kept++
			if goneSince.IsZero() {
				t.leaving[k] = now
			}
		}
	}
	for k, byNode := range t.rests {
		maps.DeleteFunc(byNode, func(_ ident.NodeName, until time.Time) bool { return !until.After(now) })
		if len(byNode) == 0 || !exists(k) {
			delete(t.rests, k)
		}
	}
}
