package serve

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// maxStalls is how many checks in a row may find no progress after the first
// token.
const maxStalls = 3

// watchdog checks a stream that has been silent for a while, over another
// connection.
type watchdog struct {
	period  time.Duration
	timer   *time.Timer
	next    atomic.Int64
	checked int64
	stalls  int
	stopped atomic.Bool
	// stalled tells that the stream was cut because its engine makes no
	// progress.
	stalled atomic.Bool
}

// watchOver starts a watchdog over an attempt.
func (a *Answer) watchOver(t *attempt) *watchdog {
	w := &watchdog{period: a.req.Table.Document.Limits.SilenceTimeout.D()}
	w.next.Store(int64(a.next))
	w.checked = int64(a.next)
	w.timer = time.AfterFunc(w.period, func() { a.core.check(a.ctx, t, w) })
	return w
}

// progress notes the index after the last token received.
func (w *watchdog) progress(next ident.Tokens) {
	w.next.Store(int64(next))
	w.timer.Reset(w.period)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// check asks the endpoint how far it is and cuts a stream that is silent
// although there is something to say.
func (c *Core) check(ctx context.Context, t *attempt, w *watchdog) {
	if w.stopped.Load() {
		return
	}
	got := w.next.Load()
	if got != w.checked {
		w.checked = got
		w.stalls = 0
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p, err := c.Engine.Progress(ctx, t.endpoint.Config().Address, t.id)
	if w.next.Load() != got || w.stopped.Load() {
		return
	}
	w.stalls++
	ahead := int64(p.Produced) - got
	stalled := w.stalls >= maxStalls && (got > 0 || ahead > 0)
	if err != nil || !p.Known || ahead > 1 || stalled {
		w.stalled.Store(err == nil && stalled)
		t.stream.Interrupt()
		return
	}
	w.timer.Reset(w.period)
}
