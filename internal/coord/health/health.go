// Package health decides from contradicting sources whether an endpoint gets
// new work.
package health

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/table"
)

const (
	// reportLag is how old a load report may be when it arrives.
	reportLag = 2 * time.Second
	// maxFailures is how many probes on new connections may time out.
	maxFailures = 2
)

// Tracker is what is known of one endpoint. It is not safe for concurrent
// use.
type Tracker struct {
	// listed tells that the VM list says leaving.
	listed bool
	// own tells that the endpoint's last report said leaving.
	own bool
	// held keeps the endpoint out until it reports itself as staying.
	held bool
	// refused is when the endpoint last refused work as leaving.
	refused  time.Time
	failures int
	dead     bool
}

// Listed takes an entry of the VM list.
func (t *Tracker) Listed(leaving bool) table.State {
	t.listed = leaving
	if leaving {
		t.held = true
	}
	return t.State()
}

// Reported takes an endpoint's own load report.
func (t *Tracker) Reported(leaving bool, now time.Time) table.State {
	t.failures = 0
	t.dead = false
	t.own = leaving
	if leaving {
		t.held = true
		return t.State()
	}
	if !t.listed && now.Sub(t.refused) > reportLag {
		t.held = false
	}
	return t.State()
}

// Refused takes a refusal of work because the endpoint is leaving.
func (t *Tracker) Refused(now time.Time) table.State {
	t.held = true
	t.refused = now
	return t.State()
}

// Failed takes a probe that failed on a new connection. Unreachable tells
// that nothing listens there, rather than that the probe timed out.
func (t *Tracker) Failed(unreachable bool) table.State {
	t.failures++
	if unreachable || t.failures >= maxFailures {
		t.dead = true
	}
	return t.State()
}

// State returns whether the endpoint gets new work.
func (t *Tracker) State() table.State {
	switch {
	case t.dead:
		return table.Down
	case t.listed || t.own || t.held:
		return table.Leaving
	default:
		return table.Up
	}
}
