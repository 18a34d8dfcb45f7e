// Package soak tests a deployment of nodes under random faults. It runs the nodes
// as processes, and the callers, simulated endpoints and a store in its own
// process. It injects faults into the nodes, endpoints and store, and checks the
// product's guarantees by what callers and endpoints observe.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Call is a caller's request and its outcome.
type Call struct {
	ID   string
	Kind topol.Kind
	Key  string
	// PermanentKey is set if the key is never revoked.
	PermanentKey bool
	// Crashing is set if a part of the prompt crashes endpoints.
	Crashing bool
	// Node is the node that the request was sent to.
	Node ident.NodeName
	// SentAt is when the request was written, or until then, when the call was
	// recorded. EndedAt is when the caller had the response or its connection
	// failed.
	SentAt, EndedAt time.Time
	// Timeout is the time limit that the caller set.
	Timeout time.Duration
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// Complete is set if the whole response was received.
	Complete bool
	// ContentError describes what was wrong with the response, or is empty.
	ContentError string
	// AbandonedAt is when the caller closed its connection without waiting for the
	// response.
	AbandonedAt time.Time
	// Kept is set if the connection had carried a response before, and IdleSince is the
	// end of that.
	Kept      bool
	IdleSince time.Time
	// EndedWithoutByte is set if the connection ended before the first byte of a response.
	EndedWithoutByte bool
	// Distant is set if the caller was far from the node.
	Distant bool
	Runs    []Run
}

// Run is one execution of a request by an endpoint.
type Run struct {
	Endpoint  ident.EndpointName
	StartedAt time.Time
	// EndedAt is zero until the run ends.
	EndedAt time.Time
	// Cancelled is set if the node closed the connection before the end of the
	// run.
	Cancelled bool
	// Truncated is set if the endpoint cut its answer off. Silent is set if it fell silent
	// in the answer and went on.
	Truncated, Silent bool
}

// Disturbance is a period in which a fault affects Node, or all nodes if Node is
// empty.
type Disturbance struct {
	Node      ident.NodeName
	Kind      string
	StartedAt time.Time
	// EndedAt is zero while the disturbance lasts.
	EndedAt time.Time
	// IsGracefulShutdown is set if the disturbance is the graceful shutdown of a
	// node.
	IsGracefulShutdown bool
	// IsCut is set if the disturbance is a cut of the node from the endpoints.
	IsCut bool
}

// Journal records the calls, their runs at endpoints, the disturbances, revoked
// keys and departed endpoints, and the violations found during the test. It is
// safe for concurrent use.
type Journal struct {
	mu           sync.Mutex
	calls        map[string]*Call
	disturbances []*Disturbance
	// revokedAt holds when each revoked key was removed from the configuration.
	// departedAt holds when each endpoint was marked as leaving or removed from the
	// store, whichever came first.
	revokedAt  map[string]time.Time
	departedAt map[ident.EndpointName]time.Time
	violations []Violation
	cuts       []cutPeriod
	// idleLimits are the limits for idle connections, in the order of their beginnings.
	idleLimits []idleLimit
	exits      []nodeExit
	// arrivals are the requests that reached each endpoint and were not answered that it is
	// another one, in the order of their times.
	arrivals    map[ident.EndpointName][]arrival
	evacuations []evacuation
	// colds holds from when on each endpoint was cold, each time for coldStartTime.
	colds map[ident.EndpointName][]time.Time
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{calls: map[string]*Call{}, revokedAt: map[string]time.Time{}, departedAt: map[ident.EndpointName]time.Time{}, arrivals: map[ident.EndpointName][]arrival{}, colds: map[ident.EndpointName][]time.Time{}}
}

// AddCall records a call that is about to be sent.
func (j *Journal) AddCall(c *Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[c.ID] = c
}

// UpdateCall calls f, which changes c, under the journal's lock.
func (j *Journal) UpdateCall(c *Call, f func(*Call)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(c)
}

// StartRun records that an endpoint runs a request and returns a function that
// records the end of the run.
func (j *Journal) StartRun(id string, e ident.EndpointName) (end func(cancelled bool)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c, ok := j.calls[id]
	if !ok {
		j.violations = append(j.violations, Violation{"unasked", fmt.Sprintf("%s runs request %q, which no caller sent", e, id)})
		return func(bool) {}
	}
	i := len(c.Runs)
	c.Runs = append(c.Runs, Run{Endpoint: e, StartedAt: time.Now()})
	return func(cancelled bool) {
		j.mu.Lock()
		defer j.mu.Unlock()
		c.Runs[i].EndedAt = time.Now()
		c.Runs[i].Cancelled = cancelled
	}
}

// UpdateRun calls f, which changes the last run of a request at an endpoint, under the
// journal's lock.
func (j *Journal) UpdateRun(id string, e ident.EndpointName, f func(*Run)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c, ok := j.calls[id]
	if !ok {
		return
	}
	for i := len(c.Runs) - 1; i >= 0; i-- {
		if c.Runs[i].Endpoint == e {
			f(&c.Runs[i])
			return
		}
	}
}

// AddViolation records a violation of a rule.
func (j *Journal) AddViolation(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// StartDisturbance records that a disturbance starts now and returns a function
// that records its end.
func (j *Journal) StartDisturbance(d Disturbance) (end func()) {
	d.StartedAt = time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &d
	j.disturbances = append(j.disturbances, p)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		p.EndedAt = time.Now()
	}
}

// RecordRevocation records that a key was revoked now.
func (j *Journal) RecordRevocation(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revokedAt[key] = time.Now()
}

// RecordDeparture records that an endpoint was marked as leaving or removed from
// the store now, unless it has departed before.
func (j *Journal) RecordDeparture(e ident.EndpointName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.departedAt[e]; !ok {
		j.departedAt[e] = time.Now()
	}
}

// sortedCalls returns the calls in the order in which they were sent. The caller
// must hold j.mu unless nothing else uses the journal.
func (j *Journal) sortedCalls() []*Call {
	cs := make([]*Call, 0, len(j.calls))
	for _, c := range j.calls {
		cs = append(cs, c)
	}
	slices.SortFunc(cs, func(a, b *Call) int { return a.SentAt.Compare(b.SentAt) })
	return cs
}
