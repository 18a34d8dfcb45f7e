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
	checkProbes  = 2
	checkPause   = 10 * time.Millisecond
)

// Health keeps the state of all endpoints. It is safe for concurrent use.
type Health struct {
	Engine messg.Engine
	Ring   *trace.Ring

	mu       sync.Mutex
	trackers map[ident.EndpointName]*health.Tracker
}

// step changes the tracker of an endpoint and notes a transition.
func (h *Health) step(e *table.Endpoint, why string, f func(*health.Tracker) table.State) table.State {
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
		h.Ring.Add(trace.Endpoint, "", fmt.Sprintf("endpoint %s is %s, was %s: %s", e.Name, to, from, why))
	}
	return to
}

// Listed takes an entry of the VM list.
func (h *Health) Listed(e *table.Endpoint, leaving bool) {
	h.step(e, "VM list", func(t *health.Tracker) table.State { return t.Listed(leaving) })
}

// Refused takes a refusal of work because the endpoint is leaving.
func (h *Health) Refused(e *table.Endpoint) {
	h.step(e, "refused work as leaving", func(t *health.Tracker) table.State { return t.Refused(time.Now()) })
}

// Poll reads an endpoint's load report. A failure on an old connection is
// checked on a new one before it counts against the endpoint.
func (h *Health) Poll(ctx context.Context, e *table.Endpoint) error {
	addr := e.Config().Address
	l, err := h.load(ctx, addr, false)
	if err != nil {
		l, err = h.load(ctx, addr, true)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		h.failed(e, err)
		return err
	}
	e.SetLoad(&l)
	h.step(e, "load report", func(t *health.Tracker) table.State { return t.Reported(l.Leaving, time.Now()) })
	return nil
}

// Check probes an endpoint on new connections after a call to it failed, and
// reports whether it is dead. A connection may still be accepted in the moment
// of a crash, so one that breaks is probed again.
func (h *Health) Check(ctx context.Context, e *table.Endpoint) bool {
	for range checkProbes {
		_, err := h.load(ctx, e.Config().Address, true)
		if err == nil || ctx.Err() != nil {
			return false
		}
		if h.failed(e, err) == table.Down {
			return true
		}
		delay.For(ctx, checkPause)
	}
	return false
}

func (h *Health) failed(e *table.Endpoint, err error) table.State {
	gone := errors.Is(err, conns.ErrNotSent)
	return h.step(e, err.Error(), func(t *health.Tracker) table.State { return t.Failed(gone) })
}

// load reads a report. An endpoint that has none to give is alive and idle.
func (h *Health) load(ctx context.Context, addr string, fresh bool) (table.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := h.Engine.Load(ctx, addr, fresh)
	if errors.Is(err, messg.ErrStatus) {
		return table.Load{At: time.Now()}, nil
	}
	return l, err
}
