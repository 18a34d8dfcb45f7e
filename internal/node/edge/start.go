package edge

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// askTimeout bounds the time for which a starting node asks its peers for their state
	// before it believes the store.
	askTimeout = 400 * time.Millisecond
	// minAskTime is how long it goes on if those that answer have no state either.
	minAskTime = 60 * time.Millisecond
	// askPause is the pause between two rounds.
	askPause = 20 * time.Millisecond
	// settleTime is how long it goes on after a peer told its state, so that the others are
	// asked that it connects to meanwhile: the first one may be behind.
	settleTime = 30 * time.Millisecond
	// maxAsked is the number of peers that are asked in one round.
	maxAsked = 5
)

// askPeers gets the state of peers that run already. The store may have come back as an older
// copy, in which a key is valid that was taken away: a node that starts must not know less than
// its peers. They also tell which requests crash endpoints. If they are all away, the node starts
// with what the store shows.
func (s *stateSync) askPeers(ctx context.Context) {
	s.isStarting.Store(true)
	defer s.isStarting.Store(false)
	began := clock.Now()
	var knownAt clock.Instant
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for ctx.Err() == nil {
		answered, wanted := s.askRound(ctx)
		for ctx.Err() == nil && s.feeds.Catalog().ID().Version < wanted {
			// It is being transferred.
			delay.For(ctx, askPause)
		}
		now := clock.Now()
		if knownAt == 0 && s.feeds.Catalog() != nil && s.feeds.EvacuationsKnown() {
			knownAt = now
		}
		after := now.Sub(began)
		switch {
		case knownAt > 0 && now.Sub(knownAt) >= settleTime:
			s.logger.Info().Uint64("version", uint64(s.feeds.Catalog().Version)).Dur("after", after).Msg("sync: state of the peers is known")
			return
		case knownAt == 0 && answered && after >= minAskTime:
			s.logger.Info().Dur("after", after).Msg("sync: peers have no state, starting with that of the store")
			return
		}
		delay.For(ctx, askPause)
	}
	if s.feeds.Catalog() == nil {
		s.logger.Warn().Dur("after", clock.Now().Sub(began)).Msg("sync: no peer told its state, starting with that of the store")
	}
}

// askRound asks the connected peers at once, and applies their answers. It returns whether there
// was one, and the newest version of the configuration that a peer has.
func (s *stateSync) askRound(ctx context.Context) (answered bool, wanted ident.Version) {
	type answer struct {
		peer  string
		state relay.State
		ok    bool
	}
	addresses := s.mesh.ConnectedAddresses()
	addresses = addresses[:min(len(addresses), maxAsked)]
	answers := make(chan answer, len(addresses))
	sentAt := clock.Now()
	for _, a := range addresses {
		go func() {
			st, ok := s.fetchState(a, sentAt)
			answers <- answer{a, st, ok}
		}()
	}
	for range addresses {
		select {
		case <-ctx.Done():
			return answered, wanted
		case a := <-answers:
			if !a.ok {
				continue
			}
			answered = true
			wanted = max(wanted, a.state.Version)
			s.applyNewer(a.peer, a.state)
			s.applyState(a.state, sentAt)
		}
	}
	return answered, wanted
}
