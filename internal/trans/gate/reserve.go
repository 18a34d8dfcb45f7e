package gate

import (
	"context"
	"fmt"
	"sync"
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

	stopRenewing context.CancelFunc
	renewing     sync.WaitGroup
}

// reserve reserves memory at all helpers for which the choice requires it, or at
// none. It returns the engines whose reservation failed.
func (s *Server) reserve(ctx context.Context, c place.Choice) (*reservationSet, ident.Set[ident.EndpointName]) {
	rs := &reservationSet{server: s, tokens: c.Reservations}
	for i := range c.Reservations {
		rs.engines = append(rs.engines, c.Helpers[i])
		rs.ids = append(rs.ids, fmt.Sprintf("%s-%x-%d", s.Node, s.startMillis, s.lastID.Add(1)))
	}
	failed := ident.Set[ident.EndpointName]{}
	for i, err := range rs.forEachEngine(ctx, rs.reserveAt) {
		if err == nil {
			continue
		}
		failed.Add(rs.engines[i].Name)
		s.Logger.Info().Err(err).Str("endpoint", string(rs.engines[i].Name)).Str("ticket", rs.ids[i]).Int64("tokens", int64(rs.tokens[i])).Msg("gate: reservation failed")
		if !errors.Is(err, ErrNoMemory) && !s.isEvacuated(rs.engines[i]) {
			s.recordFailure(rs.engines[i].Name, time.Now())
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

// reserveAt makes or renews the reservation at engine i.
func (rs *reservationSet) reserveAt(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	return rs.server.Reserver.Reserve(ctx, rs.engines[i], relay.Reservation{ID: rs.ids[i], Tokens: rs.tokens[i], TTL: reservationTTL})
}

// releaseAt ends the reservation at engine i.
func (rs *reservationSet) releaseAt(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	return rs.server.Reserver.Release(ctx, rs.engines[i], rs.ids[i])
}

// renewPeriodically renews the reservations until the context ends.
func (rs *reservationSet) renewPeriodically(ctx context.Context) {
	defer rs.renewing.Done()
	ctx = withoutRequest(ctx)
	delay.Every(ctx, renewInterval, func(time.Time) {
		for i, err := range rs.forEachEngine(ctx, rs.reserveAt) {
			if err != nil && ctx.Err() == nil {
				rs.server.Logger.Warn().Err(err).Str("endpoint", string(rs.engines[i].Name)).Str("ticket", rs.ids[i]).Msg("gate: reservation renewal failed")
			}
		}
	})
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
