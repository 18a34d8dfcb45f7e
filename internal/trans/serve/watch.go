package serve

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// maxStalls is the number of consecutive checks without progress after which a
// stream is cut. Before the first token there is no such limit.
const maxStalls = 3

// watchdog checks a stream that has been silent for a period, by asking the
// engine for its progress over another connection.
type watchdog struct {
	period      time.Duration
	timer       *time.Timer
	received    atomic.Int64
	lastChecked int64
	stalls      int
	stopped     atomic.Bool
	// stalled is set if the stream was cut because its engine made no
	// progress.
	stalled atomic.Bool
}

// startWatchdog starts a watchdog over an attempt.
func (a *Answer) startWatchdog(t *attempt) *watchdog {
	w := &watchdog{period: a.req.Table.Document.Limits.SilenceTimeout.Std()}
	w.received.Store(int64(a.nextIndex))
	w.lastChecked = int64(a.nextIndex)
	w.timer = time.AfterFunc(w.period, func() { a.core.checkStream(a.ctx, t, w) })
	return w
}

// progress records the index after the last token received and restarts the
// period.
func (w *watchdog) progress(next ident.Tokens) {
	w.received.Store(int64(next))
	w.timer.Reset(w.period)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// checkStream asks the endpoint for the progress of a silent request. It cuts
// the stream if the endpoint doesn't answer, doesn't know the request, is more
// than one token ahead of the stream, or has made no progress for maxStalls
// checks.
func (c *Core) checkStream(ctx context.Context, t *attempt, w *watchdog) {
	if w.stopped.Load() {
		return
	}
	received := w.received.Load()
	if received != w.lastChecked {
		w.lastChecked = received
		w.stalls = 0
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p, err := c.Engine.Progress(ctx, t.endpoint.Config().Address, t.id)
	if w.received.Load() != received || w.stopped.Load() {
		return
	}
	w.stalls++
	ahead := int64(p.Produced) - received
	stalled := w.stalls >= maxStalls && (received > 0 || ahead > 0)
	if err != nil || !p.Known || ahead > 1 || stalled {
		w.stalled.Store(err == nil && stalled)
		t.stream.Interrupt()
		return
	}
	w.timer.Reset(w.period)
}
