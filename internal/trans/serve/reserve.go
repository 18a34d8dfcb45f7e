package serve

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/holds"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/tail"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	reapInterval = time.Second
	// reapGrace is how long Reap waits after its start before it releases any
	// memory, and after the time limit of a reservation whose holder is alive.
	// It also bounds each release of a reservation.
	reapGrace = 10 * time.Second
	// releaseTimeout bounds one call to an engine, releasePause is the pause
	// after a failed one.
	releaseTimeout = time.Second
	releasePause   = 200 * time.Millisecond
)

// Reservations records in the log the memory that is reserved on several engines
// for split prompts, and releases what dead nodes left reserved.
type Reservations struct {
	Log    messg.Log
	Engine messg.Engine
	Holder claim.Holder
	Ring   *trace.Ring
	Logger zerolog.Logger
	// Alive reports whether a node is alive and still has the given boot
	// number.
	Alive func(n ident.NodeName, boot int64) bool
	// Table returns the configuration in force.
	Table func() *table.Table

	mu    sync.Mutex
	state *holds.Table
	// own holds the IDs of the reservations that this node still manages.
	own map[string]struct{}
}

// reservation is memory on several engines that this node has reserved.
type reservation struct {
	// id identifies the reservation at the engines and in the log.
	id           string
	engines      []*table.Endpoint
	reservations *Reservations
}

// Init prepares the reservations; it is called once before use.
func (h *Reservations) Init() {
	h.state = holds.New()
	h.own = map[string]struct{}{}
}

// open records a reservation in the log. It is called before any engine
// reserves memory, so that the memory is released even if this node dies.
func (h *Reservations) open(ctx context.Context, id string, es []*table.Endpoint, until time.Time) (*reservation, error) {
	r := holds.Record{Owner: id, Holder: h.Holder, Until: until}
	for _, e := range es {
		r.Engines = append(r.Engines, e.Name)
	}
	h.mu.Lock()
	h.own[id] = struct{}{}
	h.mu.Unlock()
	res := &reservation{id, es, h}
	if err := h.append(ctx, r); err != nil {
		h.forget(id)
		return nil, errors.Annotate(err, "record hold")
	}
	return res, nil
}

func (h *Reservations) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.own, id)
}

func (h *Reservations) append(ctx context.Context, r holds.Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.Log.Append(ctx, messg.HoldStream, raw)
	return err
}

// end releases the memory at all engines and records the end of the reservation.
// If that fails, Reap repeats it later, on this node or another one.
func (res *reservation) end() {
	defer res.reservations.forget(res.id)
	ctx, cancel := context.WithTimeout(context.Background(), reapGrace)
	defer cancel()
	res.reservations.release(ctx, res.id, res.engines)
}

// release releases the memory of a reservation at its engines and records the
// end of the reservation. It repeats the call to an engine until it succeeds or
// the context ends. It doesn't wait for an engine that is down, which is assumed
// to have crashed and lost its reservations.
func (h *Reservations) release(ctx context.Context, id string, es []*table.Endpoint) {
	for _, e := range es {
		if !h.releaseAt(ctx, id, e) {
			return
		}
	}
	if err := h.append(ctx, holds.Record{Owner: id, Ended: true}); err != nil {
		h.Logger.Warn().Err(err).Str("owner", id).Msg("holds: cannot record the end of a reservation")
		return
	}
	h.Ring.Add(trace.Released, "", "memory of "+id+" released")
}

func (h *Reservations) releaseAt(ctx context.Context, id string, e *table.Endpoint) bool {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := h.Engine.Release(try, e.Config().Address, id)
		cancel()
		if err == nil || e.State() == table.Down {
			return true
		}
		delay.For(ctx, releasePause)
	}
	return false
}

// Follow reads the holds stream until the context ends.
func (h *Reservations) Follow(ctx context.Context) {
	tail.Follower{Log: h.Log, Stream: messg.HoldStream, Apply: h.apply}.Run(ctx)
}

func (h *Reservations) apply(p messg.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tail.DecodeEach(p, h.Logger, func(r messg.Record, rec holds.Record) {
		h.state.Apply(r.Offset, rec)
	})
}

// Reap releases the reservations of dead nodes and those whose release failed,
// until the context ends.
func (h *Reservations) Reap(ctx context.Context) {
	started := time.Now()
	for delay.For(ctx, reapInterval) {
		if time.Since(started) < reapGrace {
			continue
		}
		for _, r := range h.orphaned(time.Now()) {
			h.reap(ctx, r)
		}
	}
}

// orphaned returns the reservations whose node is dead or whose time limit
// passed more than reapGrace ago, except those that this node still manages.
func (h *Reservations) orphaned(now time.Time) []holds.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	var rs []holds.Record
	for _, r := range h.state.Active() {
		if _, ok := h.own[r.Owner]; ok {
			continue
		}
		late := now.Sub(r.Until) > reapGrace
		if late || !h.Alive(r.Holder.Node, r.Holder.Boot) {
			rs = append(rs, r)
		}
	}
	return rs
}

func (h *Reservations) reap(ctx context.Context, r holds.Record) {
	ctx, cancel := context.WithTimeout(ctx, reapGrace)
	defer cancel()
	var es []*table.Endpoint
	t := h.Table()
	for _, n := range r.Engines {
		if e, ok := t.Endpoints[n]; ok {
			es = append(es, e)
		}
	}
	h.Logger.Info().Str("owner", r.Owner).Msg("holds: releasing an orphaned reservation")
	h.release(ctx, r.Owner, es)
}
