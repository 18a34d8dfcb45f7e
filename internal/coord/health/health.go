// Package health decides whether an endpoint gets new requests. Its sources,
// which may contradict each other, are the VM list, the endpoint's load
// reports, its refusals and failed probes. Package trans/serve uses it;
// trans/gate tracks the health of its endpoints itself.
package health

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/table"
)

const (
	// maxReportAge is the assumed maximum age of a load report on arrival.
	maxReportAge = 2 * time.Second
	// An endpoint counts as down after maxFailures failed probes on new
	// connections without a report in between, or after one if nothing listens at
	// its address.
	maxFailures = 2
)

// Tracker tracks the state of one endpoint. It is not safe for concurrent use.
type Tracker struct {
	// listedLeaving is true if the VM list shows the endpoint as leaving.
	listedLeaving bool
	// reportedLeaving is true if the endpoint's last load report said that it is
	// leaving.
	reportedLeaving bool
	// leavingUntilReport is set when any source says that the endpoint is
	// leaving. A later load report to the contrary clears it, unless the VM list
	// still shows the endpoint as leaving or the report may be older than the
	// last refusal.
	leavingUntilReport bool
	// refusedAt is when the endpoint last refused a request because it was
	// leaving.
	refusedAt time.Time
	// failures counts the failed probes since the last load report.
	failures int
	down     bool
}

// RecordListing records the endpoint's entry in the VM list and returns the new
// state.
func (t *Tracker) RecordListing(leaving bool) table.State {
	t.listedLeaving = leaving
	if leaving {
		t.leavingUntilReport = true
	}
	return t.State()
}

// RecordReport records a load report of the endpoint and returns the new state.
// A report that may be older than the last refusal doesn't clear
// leavingUntilReport.
func (t *Tracker) RecordReport(leaving bool, now time.Time) table.State {
	t.failures = 0
	t.down = false
	t.reportedLeaving = leaving
	if leaving {
		t.leavingUntilReport = true
		return t.State()
	}
	if !t.listedLeaving && now.Sub(t.refusedAt) > maxReportAge {
		t.leavingUntilReport = false
	}
	return t.State()
}

// RecordRefusal records that the endpoint refused a request because it is
// leaving, and returns the new state.
func (t *Tracker) RecordRefusal(now time.Time) table.State {
	t.leavingUntilReport = true
	t.refusedAt = now
	return t.State()
}

// RecordFailedProbe records a failed probe on a new connection and returns the
// new state. If unreachable is set, nothing listens at the endpoint's address;
// otherwise the probe timed out or its connection broke.
func (t *Tracker) RecordFailedProbe(unreachable bool) table.State {
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
	case t.listedLeaving || t.reportedLeaving || t.leavingUntilReport:
		return table.Leaving
	default:
		return table.Up
	}
}
