package gate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// reservationTTL is how long a reservation lasts without a renewal. It
	// bounds how long memory stays reserved if the node dies, or if an engine
	// makes a reservation after the node has stopped waiting for it.
	reservationTTL = 3 * time.Second
	// renewInterval is the time between two renewals. A reservation outlasts
	// a failed renewal.
	renewInterval = time.Second
	// renewRetryPause is the pause before the first renewal of memory that is used is repeated.
	renewRetryPause = 100 * time.Millisecond
	// expiryMargin is the time between the end of a reservation that was not used and
	// Server.MaxUnusedMemory. A call whose answer is lost may take effect up to
	// reservationCallTimeout later, or somewhat more. It is less than releaseMargin, so that a
	// first event that arrives just before the prompt is given up leaves time for a renewal.
	expiryMargin = time.Second
	// minTTL is the shortest TTL of a renewal.
	minTTL = 50 * time.Millisecond
	// reservationCallTimeout bounds one call to reserve or release memory at an
	// engine. It is also the pause before a failed release is repeated.
	reservationCallTimeout = 400 * time.Millisecond
	// maxReservationAttempts is the maximum number of placements tried for one
	// prompt if memory can't be reserved.
	maxReservationAttempts = 3
)

// reservationSet is the memory reserved at one or more engines for one send of
// a prompt.
type reservationSet struct {
	server  *Server
	engines []*topol.Endpoint
	// ids are the reservation IDs, in the order of the engines. Each ID is
	// used only once.
	ids    []string
	tokens []ident.Tokens
	// since is a time before the reservations were made.
	since time.Time
	// isUsed is set once the first event of the prompt has arrived. renewNow then has a value
	// if the reservations are to be renewed at once.
	isUsed   atomic.Bool
	renewNow chan struct{}

	stopRenewing context.CancelFunc
	renewing     sync.WaitGroup
}

// reserve reserves memory at all helpers for which the choice requires it, or at
// none. It returns why the reservations failed, by engine.
func (s *Server) reserve(ctx context.Context, c place.Choice) (*reservationSet, map[ident.EndpointName]error) {
	rs := &reservationSet{server: s, tokens: c.Reservations, since: time.Now(), renewNow: make(chan struct{}, 1)}
	for i := range c.Reservations {
		rs.engines = append(rs.engines, c.Helpers[i])
		rs.ids = append(rs.ids, fmt.Sprintf("%s-%x-%d", s.Node, s.startMillis, s.lastID.Add(1)))
	}
	failed := map[ident.EndpointName]error{}
	for i, err := range rs.forEachEngine(ctx, rs.reserveAt) {
		if err == nil {
			continue
		}
		failed[rs.engines[i].Name] = err
		s.Logger.Info().Err(err).Str("endpoint", string(rs.engines[i].Name)).Str("ticket", rs.ids[i]).Int64("tokens", int64(rs.tokens[i])).Msg("gate: reservation failed")
		if !errors.Is(err, ErrNoMemory) && !errors.Is(err, ErrMisdirected) && !s.isEvacuated(rs.engines[i]) {
			s.endpointHealth.recordFailure(rs.engines[i].Name, time.Now())
		}
	}
	if len(failed) > 0 {
		go rs.releaseAll()
		return nil, failed
	}
	ctx, rs.stopRenewing = context.WithCancel(ctx)
	rs.renewing.Add(1)
	go rs.renewPeriodically(ctx)
	return rs, nil
}

// forEachEngine calls f with the index of each engine, for all engines
// concurrently. It returns the errors in the order of the engines.
func (rs *reservationSet) forEachEngine(ctx context.Context, f func(context.Context, int) error) []error {
	errs := make([]error, len(rs.engines))
	var wg sync.WaitGroup
	for i := range rs.engines {
		wg.Go(func() { errs[i] = f(ctx, i) })
	}
	wg.Wait()
	return errs
}

// maxUnused returns MaxUnusedMemory less a margin, which is at most half of it; zero means no
// bound.
func (s *Server) maxUnused(margin time.Duration) time.Duration {
	return max(s.MaxUnusedMemory-margin, s.MaxUnusedMemory/2)
}

// unusedTTL returns the TTL of a call at the given time for memory that is not used. It is
// reservationTTL, or the time until the bound less expiryMargin if that is shorter. It is zero or
// less once that time has passed.
func (rs *reservationSet) unusedTTL(now time.Time) time.Duration {
	limit := rs.server.maxUnused(expiryMargin)
	if limit == 0 {
		return reservationTTL
	}
	return min(reservationTTL, limit-now.Sub(rs.since))
}

// ttl returns the TTL of a call at the given time.
func (rs *reservationSet) ttl(now time.Time) time.Duration {
	if rs.isUsed.Load() {
		return reservationTTL
	}
	return rs.unusedTTL(now)
}

// markUsed records that the first event of the prompt has arrived. If the TTL of the next renewal
// would be shortened, the reservations are renewed at once.
func (rs *reservationSet) markUsed() {
	if rs.isUsed.CompareAndSwap(false, true) && rs.unusedTTL(time.Now()) < reservationTTL {
		rs.renewNow <- struct{}{}
	}
}

// reserveAt makes or renews the reservation at engine i. An engine that is another one than its
// record names is avoided.
func (rs *reservationSet) reserveAt(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	s, sent := rs.server, rs.server.staleRecords.now()
	err := s.Reserver.Reserve(ctx, rs.engines[i], relay.Reservation{ID: rs.ids[i], Tokens: rs.tokens[i], TTL: rs.ttl(time.Now())})
	if errors.Is(err, ErrMisdirected) {
		s.recordMisdirection(rs.engines[i], rs.ids[i], sent)
	}
	return err
}

// releaseAt ends the reservation at engine i.
func (rs *reservationSet) releaseAt(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	return rs.server.Reserver.Release(ctx, rs.engines[i], rs.ids[i])
}

// renewPeriodically renews the reservations until the context ends. Reservations that are not
// used are not renewed beyond the bound on unused memory.
func (rs *reservationSet) renewPeriodically(ctx context.Context) {
	defer rs.renewing.Done()
	ctx = withoutRequest(ctx)
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rs.renewNow:
			// The next regular renewal may come too late.
			for !rs.renew(ctx) && time.Since(rs.since) < rs.server.MaxUnusedMemory && delay.For(ctx, renewRetryPause) {
			}
		case now := <-t.C:
			if rs.ttl(now) >= minTTL {
				rs.renew(ctx)
			}
		}
	}
}

// renew renews the reservations. It reports whether all engines have confirmed it. The calls go on
// if the context ends: a call that is given up may take effect after the release.
func (rs *reservationSet) renew(ctx context.Context) bool {
	ok := true
	for i, err := range rs.forEachEngine(context.WithoutCancel(ctx), rs.reserveAt) {
		if err == nil {
			continue
		}
		ok = false
		if ctx.Err() == nil {
			rs.server.Logger.Warn().Err(err).Str("endpoint", string(rs.engines[i].Name)).Str("ticket", rs.ids[i]).Msg("gate: reservation renewal failed")
		}
	}
	return ok
}

// stopAndRelease stops the renewals and releases the memory in the background.
func (rs *reservationSet) stopAndRelease() {
	rs.stopRenewing()
	go func() {
		rs.renewing.Wait()
		rs.releaseAll()
	}()
}

// releaseAll retries each release until the engine has confirmed it or the
// reservation has expired.
func (rs *reservationSet) releaseAll() {
	ctx, cancel := context.WithTimeout(withoutRequest(context.Background()), reservationTTL)
	defer cancel()
	rs.forEachEngine(ctx, func(ctx context.Context, i int) error {
		for {
			err := rs.releaseAt(ctx, i)
			if err == nil || ctx.Err() != nil {
				return err
			}
			delay.For(ctx, reservationCallTimeout)
		}
	})
}
