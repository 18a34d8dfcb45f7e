package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
)

// applyFunc applies records whose read began at the given time. It is called with complete set
// if they are the newest records of all keys. With them, the state is the newest as of asOf; zero
// if that isn't known, see cursor.confirm.
type applyFunc func(rs []Record, complete bool, at, asOf clock.Instant)

// follower reads one stream. The fields up to apply are set before run.
type follower struct {
	feeds  *Feeds
	stream Stream
	// wait bounds the wait for a record in a read, interval is the pause between
	// two reads.
	wait, interval time.Duration
	apply          applyFunc

	cursor cursor
	// failedSince is when the first of the last reads failed; zero if the last one
	// succeeded.
	failedSince clock.Instant
	// hasSucceeded is set once a read has succeeded.
	hasSucceeded bool
	retryPause   time.Duration
}

// run reads the stream until the context ends.
func (w *follower) run(ctx context.Context) {
	w.restart()
	w.retryPause = minRetryPause
	for ctx.Err() == nil {
		if served := w.servedFor(); served > 0 {
			w.restart()
			w.feeds.rechecks[w.stream].wait(ctx, min(served, peerCheckInterval))
			continue
		}
		at := clock.Now()
		page, err := w.read(ctx)
		switch {
		case errors.Is(err, ErrTrimmed):
			w.feeds.Logger.Info().Str("stream", w.stream.String()).Int64("from", int64(w.cursor.next)).Msg("feeds: source has no records at the offset, reading the newest record of each key")
			w.cursor.next = unknownOffset
		case err != nil:
			w.fail(ctx, err, at)
		default:
			w.succeed(at)
			w.pause(ctx, w.handle(page, at))
		}
	}
}

// pause waits until the next read. RequestEndpoints shortens the pause between two reads of the
// endpoints.
func (w *follower) pause(ctx context.Context, d time.Duration) {
	if w.stream != Endpoints || d <= minEndpointsPause {
		delay.For(ctx, d)
		return
	}
	delay.For(ctx, minEndpointsPause)
	w.feeds.endpointsWanted.wait(ctx, d-minEndpointsPause)
}

func (w *follower) servedFor() time.Duration {
	if w.feeds.ServedFor == nil {
		return 0
	}
	return w.feeds.ServedFor(w.stream)
}

// restart begins anew after the state that this node got otherwise, for example from
// a peer: where that is known to end in the stream, and else with the newest record
// of each key.
func (w *follower) restart() {
	w.cursor = cursor{next: unknownOffset, era: w.feeds.Era()}
	if p := w.feeds.resumeAt(); p.Era > 0 && w.stream == Configuration {
		w.cursor = cursor{next: p.Next, era: p.Era, resumed: true}
	}
}

func (w *follower) read(ctx context.Context) (Page, error) {
	switch {
	case w.cursor.next == unknownOffset:
		return w.feeds.Source.Newest(ctx, w.stream)
	case w.cursor.resumed:
		// The state must be confirmed at once.
		return w.feeds.Source.Read(ctx, w.stream, w.cursor.next, 0)
	case w.stream == Configuration:
		return w.feeds.Source.Read(ctx, w.stream, w.cursor.next, w.feeds.configWaitNow(w.wait))
	default:
		return w.feeds.Source.Read(ctx, w.stream, w.cursor.next, w.wait)
	}
}

// fail handles the failure of a read that began at the given time.
func (w *follower) fail(ctx context.Context, err error, at clock.Instant) {
	if w.failedSince == 0 && ctx.Err() == nil {
		w.failedSince = at
		w.feeds.Logger.Warn().Err(err).Str("stream", w.stream.String()).Msg("feeds: reading the source failed")
	}
	w.feeds.failing[w.stream].Store(true)
	delay.For(ctx, w.retryPause)
	w.retryPause = min(2*w.retryPause, maxRetryPause)
}

// succeed handles the success of a read that began at the given time.
func (w *follower) succeed(at clock.Instant) {
	w.retryPause = minRetryPause
	if w.failedSince > 0 {
		outage := at.Sub(w.failedSince)
		if !w.hasSucceeded {
			// The outage may have begun before this node did.
			outage = max(outage, minOutage)
		}
		w.feeds.recordRecovery(w.stream, at, outage)
	}
	w.failedSince, w.hasSucceeded = 0, true
}

// handle handles a page, whose read began at the given time, and returns the pause
// before the next read.
func (w *follower) handle(p Page, at clock.Instant) time.Duration {
	f, from := w.feeds, w.cursor.next
	if w.cursor.isNewEra(p) {
		f.recordLoss(w.stream, p.Era, at)
	}
	f.ObserveEra(p.Era)
	kind := w.cursor.advance(p)
	switch kind {
	case readAgain:
		return 0
	case outdated:
		return minRetryPause
	}
	asOf := w.cursor.confirm(p, at)
	w.logProgress(p, asOf)
	if w.stream == Configuration {
		w.apply(p.Records, kind == newest, at, f.confirmable(w.cursor.era, asOf))
		f.applyEvacuations(p.Records, kind == newest, Position{Era: w.cursor.era, Next: w.cursor.next}, asOf)
	} else {
		w.apply(p.Records, kind == newest, at, asOf)
	}
	switch {
	case p.Next >= p.End:
		return f.pause(w.stream, w.interval)
	case p.Next == from:
		// The source has more records, but returned none.
		return minRetryPause
	default:
		return 0
	}
}

// logProgress logs a page that doesn't reach the end of the stream.
func (w *follower) logProgress(p Page, asOf clock.Instant) {
	if p.Next >= p.End {
		return
	}
	e := w.feeds.Logger.Info().Str("stream", w.stream.String()).Uint64("era", p.Era).Int64("next", int64(p.Next)).Int64("end", int64(p.End))
	if asOf > 0 {
		e = e.Dur("confirmedAge", clock.Now().Sub(asOf))
	}
	e.Msg("feeds: more records follow")
}

// signal wakes one waiting goroutine. The zero value is ready for use.
type signal struct {
	once sync.Once
	c    chan struct{}
}

func (s *signal) channel() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// set ends the present call of wait or, if there is none, the next one.
func (s *signal) set() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// wait waits for set, at most for d.
func (s *signal) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.channel():
	case <-t.C:
	}
}
