package serve

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// maxStalls is the number of consecutive checks without a received token after
// which a stream is interrupted. It doesn't apply until the first token of the
// answer was received or the engine has reported it as generated.
const maxStalls = 3

// watchdog checks a stream that has been silent for a period, by asking the
// engine for its progress over another connection.
type watchdog struct {
	period time.Duration
	timer  *time.Timer
	// received is the index after the last token received, lastChecked its
	// value at the last check.
	received    atomic.Int64
	lastChecked int64
	// stalls is the number of checks since received last changed.
	stalls  int
	stopped atomic.Bool
	// stalled is set if the stream was interrupted after maxStalls checks.
	stalled atomic.Bool
}

// startWatchdog starts the watchdog of an attempt.
func (a *Answer) startWatchdog(t *attempt) *watchdog {
	w := &watchdog{period: a.req.Table.Document.Limits.SilenceTimeout.Std()}
	w.received.Store(int64(a.nextIndex))
	w.lastChecked = int64(a.nextIndex)
	w.timer = time.AfterFunc(w.period, func() { a.core.checkStream(a.ctx, t, w) })
	return w
}

// recordReceived records the index after the last token received and restarts the
// period.
func (w *watchdog) recordReceived(next ident.Tokens) {
	w.received.Store(int64(next))
	w.timer.Reset(w.period)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// checkStream asks the endpoint for the progress of a silent request. It
// interrupts the stream if the endpoint doesn't answer, doesn't know the request
// or has generated more than one token that was not received, or if no token was
// received for maxStalls checks.
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
