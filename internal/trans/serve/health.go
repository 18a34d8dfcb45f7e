package serve

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/health"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	probeTimeout = time.Second
	// checkProbes is the number of probes of one check. It must not be less than
	// the number of failed probes after which health.Tracker counts an endpoint
	// as down.
	checkProbes = 2
	// checkPause is the pause between two probes of a check.
	checkPause = 10 * time.Millisecond
)

// Health tracks which endpoints may get requests. It is safe for concurrent
// use.
type Health struct {
	Engine messg.Engine
	Ring   *trace.Ring

	mu       sync.Mutex
	trackers map[ident.EndpointName]*health.Tracker
}

// update applies f to the tracker of an endpoint, sets the endpoint's new
// state and records a change as an event.
func (h *Health) update(e *table.Endpoint, reason string, f func(*health.Tracker) table.State) table.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.trackers == nil {
		h.trackers = map[ident.EndpointName]*health.Tracker{}
	}
	t, ok := h.trackers[e.Name]
	if !ok {
		t = &health.Tracker{}
		h.trackers[e.Name] = t
	}
	from, to := e.State(), f(t)
	if from != to {
		e.SetState(to)
		h.Ring.Add(trace.Endpoint, "", fmt.Sprintf("endpoint %s is %s, was %s: %s", e.Name, to, from, reason))
	}
	return to
}

// RecordListing records whether the VM list shows an endpoint as leaving.
func (h *Health) RecordListing(e *table.Endpoint, leaving bool) {
	h.update(e, "VM list", func(t *health.Tracker) table.State { return t.RecordListing(leaving) })
}

// RecordRefusal records that an endpoint refused a request because it is leaving.
func (h *Health) RecordRefusal(e *table.Endpoint) {
	h.update(e, "refused work as leaving", func(t *health.Tracker) table.State { return t.RecordRefusal(time.Now()) })
}

// Poll fetches an endpoint's load report. A failure on a pooled connection is
// checked on a new one before it counts against the endpoint.
func (h *Health) Poll(ctx context.Context, e *table.Endpoint) error {
	addr := e.Config().Address
	l, err := h.fetchLoad(ctx, addr, false)
	if err != nil {
		l, err = h.fetchLoad(ctx, addr, true)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		h.recordFailure(e, err)
		return err
	}
	e.SetLoad(&l)
	h.update(e, "load report", func(t *health.Tracker) table.State { return t.RecordReport(l.Leaving, time.Now()) })
	return nil
}

// Check probes an endpoint on new connections after a call to it failed, and
// reports whether it is down. While an endpoint crashes, its port may still
// accept a connection, so a probe whose connection breaks is repeated.
func (h *Health) Check(ctx context.Context, e *table.Endpoint) bool {
	for range checkProbes {
		_, err := h.fetchLoad(ctx, e.Config().Address, true)
		if err == nil || ctx.Err() != nil {
			return false
		}
		if h.recordFailure(e, err) == table.Down {
			return true
		}
		delay.For(ctx, checkPause)
	}
	return false
}

func (h *Health) recordFailure(e *table.Endpoint, err error) table.State {
	unreachable := errors.Is(err, conns.ErrNotSent)
	return h.update(e, err.Error(), func(t *health.Tracker) table.State { return t.RecordFailedProbe(unreachable) })
}

// fetchLoad requests a load report, on a new connection if fresh is set. An
// endpoint that answers with an error status is taken for one without load
// reports, such as a plain service; it counts as alive and idle.
func (h *Health) fetchLoad(ctx context.Context, addr string, fresh bool) (table.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := h.Engine.Load(ctx, addr, fresh)
	if errors.Is(err, messg.ErrStatus) {
		return table.Load{At: time.Now()}, nil
	}
	return l, err
}
