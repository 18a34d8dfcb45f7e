// Package avail holds what endpoints state in their answers about whether they accept
// requests: some are leaving, others want none for a time.
package avail

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
)

// State is what an endpoint stated last.
type State struct {
	quota.Key
	// Leaving is set if the endpoint is leaving; it gets no more requests.
	Leaving bool
	// RestUntil is the time until which the endpoint wants no requests; zero if it
	// stated none.
	RestUntil time.Time
}

// Table holds the states of endpoints that don't accept requests. It is not safe for
// concurrent use.
type Table struct {
	states map[quota.Key]State
}

// Record adds what an endpoint stated. It reports whether that is news.
func (t *Table) Record(s State, now time.Time) bool {
	if t.states == nil {
		t.states = map[quota.Key]State{}
	}
	old := t.states[s.Key]
	rests := s.RestUntil.After(now) && s.RestUntil.After(old.RestUntil)
	leaves := s.Leaving && !old.Leaving
	if !rests && !leaves {
		return false
	}
	old.Key = s.Key
	old.Leaving = old.Leaving || s.Leaving
	if rests {
		old.RestUntil = s.RestUntil
	}
	t.states[s.Key] = old
	return true
}

// Check reports whether an endpoint accepts requests, and if it rests, how long.
func (t *Table) Check(k quota.Key, now time.Time) (ok bool, rest time.Duration) {
	s, known := t.states[k]
	switch {
	case !known:
		return true, 0
	case s.Leaving:
		return false, 0
	case s.RestUntil.After(now):
		return false, s.RestUntil.Sub(now)
	default:
		return true, 0
	}
}

// Len returns the number of states.
func (t *Table) Len() int { return len(t.states) }

// States returns all states, for a new peer.
func (t *Table) States() []State {
	ss := make([]State, 0, len(t.states))
	for _, s := range t.states {
		ss = append(ss, s)
	}
	return ss
}

// Expire drops the states that have ended, and those of endpoints that don't exist.
func (t *Table) Expire(now time.Time, exists func(quota.Key) bool) {
	for k, s := range t.states {
		if !exists(k) || !s.Leaving && !s.RestUntil.After(now) {
			delete(t.states, k)
		}
	}
}
