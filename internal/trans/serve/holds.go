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
	// reapGrace is how long a reservation is left to its holder, counted from
	// its time limit or from the start of this node. It also bounds each
	// release.
	reapGrace      = 10 * time.Second
	releaseTimeout = time.Second
	releasePause   = 200 * time.Millisecond
)

// Reservations records in the log which memory is reserved on several engines,
// and releases the memory that dead nodes left reserved.
type Reservations struct {
	Log    messg.Log
	Engine messg.Engine
	Holder claim.Holder
	Ring   *trace.Ring
	Logger zerolog.Logger
	Alive  func(n ident.NodeName, boot int64) bool
	Table  func() *table.Table

	mu    sync.Mutex
	state *holds.Table
	own   map[string]struct{}
}

// reservation is memory on several engines that this node has reserved.
type reservation struct {
	owner        string
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
func (h *Reservations) open(ctx context.Context, owner string, es []*table.Endpoint, until time.Time) (*reservation, error) {
	r := holds.Record{Owner: owner, Holder: h.Holder, Until: until}
	for _, e := range es {
		r.Engines = append(r.Engines, e.Name)
	}
	h.mu.Lock()
	h.own[owner] = struct{}{}
	h.mu.Unlock()
	res := &reservation{owner, es, h}
	if err := h.append(ctx, r); err != nil {
		h.forget(owner)
		return nil, errors.Annotate(err, "record hold")
	}
	return res, nil
}

func (h *Reservations) forget(owner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.own, owner)
}

func (h *Reservations) append(ctx context.Context, r holds.Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.Log.Append(ctx, messg.HoldStream, raw)
	return err
}

// end releases the memory at all engines and records that. If it fails, the
// reaper of some node repeats it.
func (res *reservation) end() {
	defer res.reservations.forget(res.owner)
	ctx, cancel := context.WithTimeout(context.Background(), reapGrace)
	defer cancel()
	res.reservations.release(ctx, res.owner, res.engines)
}

// release frees an owner's memory at its engines, each until it acknowledges,
// and records the end of the reservation. An engine that is down has lost its
// memory and needs no release.
func (h *Reservations) release(ctx context.Context, owner string, es []*table.Endpoint) {
	for _, e := range es {
		if !h.releaseAt(ctx, owner, e) {
			return
		}
	}
	if err := h.append(ctx, holds.Record{Owner: owner, Ended: true}); err != nil {
		h.Logger.Warn().Err(err).Str("owner", owner).Msg("holds: end of a reservation not recorded")
		return
	}
	h.Ring.Add(trace.Released, "", "memory of "+owner+" released")
}

func (h *Reservations) releaseAt(ctx context.Context, owner string, e *table.Endpoint) bool {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := h.Engine.Release(try, e.Config().Address, owner)
		cancel()
		if err == nil || e.State() == table.Down {
			return true
		}
		delay.For(ctx, releasePause)
	}
	return false
}

// Follow replays the hold stream until the context ends.
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

// Reap releases reservations that dead nodes left behind or whose release
// failed.
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

// orphaned returns the reservations that have no holder to end them: its node
// is dead, or their time limit has passed. Those that this node still manages
// are not among them.
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
