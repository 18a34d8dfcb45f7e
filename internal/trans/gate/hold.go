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
	// holdFor is how long a reservation lasts without a renewal. It bounds how
	// long memory of a dead node stays reserved, and of an order that is
	// carried out late.
	holdFor = 3 * time.Second
	// renewEvery is the pause between two renewals.
	renewEvery = time.Second
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 400 * time.Millisecond
	// maxReserves is the number of sets of engines tried for one prompt.
	maxReserves = 3
)

// hold is the memory reserved for one send of a prompt.
type hold struct {
	server  *Server
	engines []*topol.Endpoint
	// tickets name the reservations, in the order of the engines. Each name is
	// used once.
	tickets []string
	tokens  []ident.Tokens

	stop context.CancelFunc
	done sync.WaitGroup
}

// reserve sets memory aside at all engines of a choice or at none. It returns
// the engines that had none.
func (s *Server) reserve(ctx context.Context, c place.Choice) (*hold, ident.Set[ident.EndpointName]) {
	h := &hold{server: s, tokens: c.Held}
	for i := range c.Held {
		h.engines = append(h.engines, c.Helpers[i])
		h.tickets = append(h.tickets, fmt.Sprintf("%s-%x-%d", s.Node, s.boot, s.nextID.Add(1)))
	}
	full := ident.Set[ident.EndpointName]{}
	for i, err := range h.each(ctx, h.renew) {
		if err == nil {
			continue
		}
		full.Add(h.engines[i].Name)
		s.Logger.Info().Err(err).Str("endpoint", string(h.engines[i].Name)).Str("ticket", h.tickets[i]).Int64("tokens", int64(h.tokens[i])).Msg("gate: reservation failed")
		if !errors.Is(err, ErrNoMemory) {
			s.health.failed(h.engines[i].Name, time.Now())
		}
	}
	if len(full) > 0 {
		go h.releaseAll()
		return nil, full
	}
	ctx, h.stop = context.WithCancel(ctx)
	h.done.Add(1)
	go h.keep(ctx)
	return h, nil
}

// each carries out an order at all engines at once.
func (h *hold) each(ctx context.Context, order func(context.Context, int) error) []error {
	errs := make([]error, len(h.engines))
	var wg sync.WaitGroup
	for i := range h.engines {
		wg.Go(func() { errs[i] = order(ctx, i) })
	}
	wg.Wait()
	return errs
}

func (h *hold) renew(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return h.server.Orders.Reserve(ctx, h.engines[i], relay.Reservation{ID: h.tickets[i], Tokens: h.tokens[i], TTL: holdFor})
}

func (h *hold) release(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return h.server.Orders.Release(ctx, h.engines[i], h.tickets[i])
}

// keep renews the reservations until it is stopped.
func (h *hold) keep(ctx context.Context) {
	defer h.done.Done()
	delay.Every(ctx, renewEvery, func(time.Time) {
		for i, err := range h.each(ctx, h.renew) {
			if err != nil && ctx.Err() == nil {
				h.server.Logger.Warn().Err(err).Str("endpoint", string(h.engines[i].Name)).Str("ticket", h.tickets[i]).Msg("gate: reservation is not renewed")
			}
		}
	})
}

// end stops the renewals and releases the memory.
func (h *hold) end() {
	h.stop()
	go func() {
		h.done.Wait()
		h.releaseAll()
	}()
}

// releaseAll releases until each engine has answered or the reservations have
// lapsed by themselves.
func (h *hold) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), holdFor)
	defer cancel()
	h.each(ctx, func(ctx context.Context, i int) error {
		for {
			err := h.release(ctx, i)
			if err == nil || ctx.Err() != nil {
				return err
			}
			delay.For(ctx, orderTimeout)
		}
	})
}
