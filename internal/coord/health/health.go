// Package health decides whether an endpoint gets new requests, from sources
// that may contradict each other.
package health

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/table"
)

const (
	// reportLag is the largest age of a load report when it arrives.
	reportLag = 2 * time.Second
	// An endpoint counts as down after maxFailures failed probes on new
	// connections without a report in between.
	maxFailures = 2
)

// Tracker holds the known state of one endpoint. It is not safe for concurrent
// use.
type Tracker struct {
	// listedLeaving is true if the VM list shows the endpoint as leaving.
	listedLeaving bool
	// reportedLeaving is true if the endpoint's last load report said that it is
	// leaving.
	reportedLeaving bool
	// keptOut keeps new requests away until the endpoint reports that it is not
	// leaving.
	keptOut bool
	// refusedAt is when the endpoint last refused a request because it was
	// leaving.
	refusedAt time.Time
	failures  int
	down      bool
}

// Listed records what the VM list says of the endpoint and returns the new
// state.
func (t *Tracker) Listed(leaving bool) table.State {
	t.listedLeaving = leaving
	if leaving {
		t.keptOut = true
	}
	return t.State()
}

// Reported records a load report of the endpoint and returns the new state. A
// report that may be older than the last refusal doesn't end keptOut.
func (t *Tracker) Reported(leaving bool, now time.Time) table.State {
	t.failures = 0
	t.down = false
	t.reportedLeaving = leaving
	if leaving {
		t.keptOut = true
		return t.State()
	}
	if !t.listedLeaving && now.Sub(t.refusedAt) > reportLag {
		t.keptOut = false
	}
	return t.State()
}

// Refused records that the endpoint refused a request because it is leaving, and
// returns the new state.
func (t *Tracker) Refused(now time.Time) table.State {
	t.keptOut = true
	t.refusedAt = now
	return t.State()
}

// Failed records a failed probe on a new connection and returns the new state.
// Unreachable means that nothing listens there; otherwise the probe timed out or
// its connection broke.
func (t *Tracker) Failed(unreachable bool) table.State {
	t.failures++
	if unreachable || t.failures >= maxFailures {
		t.down = true
	}
	return t.State()
}

// State returns whether the endpoint is up, leaving or down.
func (t *Tracker) State() table.State {
	switch {
	case t.down:
		return table.Down
	case t.listedLeaving || t.reportedLeaving || t.keptOut:
		return table.Leaving
	default:
		return table.Up
	}
}
