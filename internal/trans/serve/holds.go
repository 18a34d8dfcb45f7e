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
	reapEvery = time.Second
	// reapGrace is how long after its end, or after this node's start, a
	// hold is left to its holder.
	reapGrace      = 10 * time.Second
	releaseTimeout = time.Second
	releasePause   = 200 * time.Millisecond
)

// Holds records memory that is reserved on several engines, and releases what
// dead nodes left behind.
type Holds struct {
	Log    messg.Log
	Engine messg.Engine
	Holder claim.Holder
	Ring   *trace.Ring
	Logger zerolog.Logger
	Alive  func(n ident.NodeName, boot int64) bool
	Table  func() *table.Table

	mu    sync.Mutex
	state *holds.Table
	mine  map[string]struct{}
}

// hold is one open reservation of this node.
type hold struct {
	owner   string
	engines []*table.Endpoint
	holds   *Holds
}

// Init prepares the holds; it is called once before use.
func (h *Holds) Init() {
	h.state = holds.New()
	h.mine = map[string]struct{}{}
}

// open records a hold before any engine is asked for memory.
func (h *Holds) open(ctx context.Context, owner string, es []*table.Endpoint, until time.Time) (*hold, error) {
	r := holds.Record{Owner: owner, Holder: h.Holder, Until: until}
	for _, e := range es {
		r.Engines = append(r.Engines, e.Name)
	}
	h.mu.Lock()
	h.mine[owner] = struct{}{}
	h.mu.Unlock()
	o := &hold{owner, es, h}
	if err := h.append(ctx, r); err != nil {
		h.forget(owner)
		return nil, errors.Annotate(err, "record hold")
	}
	return o, nil
}

func (h *Holds) forget(owner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.mine, owner)
}

func (h *Holds) append(ctx context.Context, r holds.Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.Log.Append(ctx, messg.HoldStream, raw)
	return err
}

// end releases the memory at all engines and records that. What fails here is
// done by the reaper of some node.
func (o *hold) end() {
	defer o.holds.forget(o.owner)
	ctx, cancel := context.WithTimeout(context.Background(), reapGrace)
	defer cancel()
	o.holds.release(ctx, o.owner, o.engines)
}

// release frees an owner's memory at engines, repeating until they
// acknowledge, and records the end. An engine that is down has lost it.
func (h *Holds) release(ctx context.Context, owner string, es []*table.Endpoint) {
	for _, e := range es {
		if !h.releaseAt(ctx, owner, e) {
			return
		}
	}
	if err := h.append(ctx, holds.Record{Owner: owner, Ended: true}); err != nil {
		h.Logger.Warn().Err(err).Str("owner", owner).Msg("holds: end not recorded")
		return
	}
	h.Ring.Add(trace.Released, "", "memory of "+owner+" released")
}

func (h *Holds) releaseAt(ctx context.Context, owner string, e *table.Endpoint) bool {
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

// Follow folds the hold stream until the context ends.
func (h *Holds) Follow(ctx context.Context) {
	tail.Follower{Log: h.Log, Stream: messg.HoldStream, Apply: h.apply}.Run(ctx)
}

func (h *Holds) apply(p messg.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tail.Each(p, h.Logger, func(r messg.Record, rec holds.Record) {
		h.state.Apply(r.Offset, rec)
	})
}

// Reap releases what dead nodes, or failed releases, left behind.
func (h *Holds) Reap(ctx context.Context) {
	started := time.Now()
	for delay.For(ctx, reapEvery) {
		if time.Since(started) < reapGrace {
			continue
		}
		for _, r := range h.left(time.Now()) {
			h.reap(ctx, r)
		}
	}
}

// left returns the holds that nobody else will end.
func (h *Holds) left(now time.Time) []holds.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	var rs []holds.Record
	for _, r := range h.state.Active() {
		if _, ok := h.mine[r.Owner]; ok {
			continue
		}
		late := now.Sub(r.Until) > reapGrace
		if late || !h.Alive(r.Holder.Node, r.Holder.Boot) {
			rs = append(rs, r)
		}
	}
	return rs
}

func (h *Holds) reap(ctx context.Context, r holds.Record) {
	ctx, cancel := context.WithTimeout(ctx, reapGrace)
	defer cancel()
	var es []*table.Endpoint
	t := h.Table()
	for _, n := range r.Engines {
		if e, ok := t.Endpoints[n]; ok {
			es = append(es, e)
		}
	}
	h.Logger.Info().Str("owner", r.Owner).Msg("holds: releasing what its node left")
	h.release(ctx, r.Owner, es)
}
