package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/share"
)

const (
	// readerCount is the number of nodes that read the platform's store for all
	// nodes.
	readerCount = 2
	// pullInterval is the pause between two pulls of the state from a reader.
	pullInterval = 450 * time.Millisecond
	// freshConfigAge and freshListAge are the ages up to which the configuration
	// and the endpoint list of a peer count as fresh. A reader long-polls the
	// store for changes of the configuration, and an answer confirms the
	// configuration as it was when the poll began, so the age of a reader's
	// configuration is between one and two times the duration of a poll.
	freshConfigAge = 2600 * time.Millisecond
	freshListAge   = 950 * time.Millisecond
	// readerTimeout is the time after which a node reads the store itself, counted
	// from its last request that a reader answered with fresh state. It also
	// applies while a later request is still blocked.
	readerTimeout = 800 * time.Millisecond
)

// stateSync keeps a node's copy of the deployment's state, that is, of the
// configuration and the endpoint list, up to date. A few nodes, the readers, read
// the store, and the others pull the state from them. A node that gets no fresh
// answer reads the store itself, and if it can't, pulls from any peer. Ages are
// counted from the time at which a request was sent, so that a late answer never
// makes state look fresher than it is.
type stateSync struct {
	feeds  *feeds.Feeds
	mesh   *share.Mesh
	decode func(raw []byte) (*topol.Catalog, error)
	logger zerolog.Logger

	// servedAt is when the last request was sent that a reader answered with
	// fresh state; zero after a pull that got no such answer.
	servedAt clock.Atomic
	// isReader is set while this node reads the store for others.
	isReader atomic.Bool
}

// servedByReader reports whether this node currently gets fresh state from a
// reader and need not read the store itself.
func (s *stateSync) servedByReader() bool {
	return !s.isReader.Load() && clock.Now().Sub(s.servedAt.Load()) < readerTimeout
}

// state returns this node's copy of the state for a peer, without what the peer
// already has. It leaves out an endpoint list that may hold endpoints which
// disappeared during an outage of the store.
func (s *stateSync) state(args relay.StateArgs) relay.State {
	var st relay.State
	now := clock.Now()
	if c := s.feeds.Catalog(); c != nil {
		st.Version = c.Version
		st.Proven, st.ProvenAge = true, now.Sub(s.feeds.CatalogConfirmedAt())
		if c.Version > args.Version {
			st.Raw = c.Raw
		}
	}
	if snapshot := s.feeds.Snapshot(); snapshot.List != nil && s.feeds.OutsideGracePeriod(now) {
		st.Listed, st.ListedAge, st.List = true, now.Sub(snapshot.At), snapshot.List.ID
		if snapshot.List.ID != args.List {
			st.Endpoints = snapshot.Endpoints
		}
	}
	return st
}

// run pulls the state at intervals until the context ends.
func (s *stateSync) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay.For(ctx, pullInterval)
		s.mesh.Sweep(time.Now())
		s.pull()
	}
}

// pull fetches the state from a reader, unless this node is a reader whose own
// copy is in step with the store. If no reader has fresh state, pull clears
// servedAt, and fetches the state from any peer if this node's copy is outdated
// or its endpoint list may differ from the store's.
func (s *stateSync) pull() {
	readers := s.mesh.Readers(readerCount, time.Now())
	isReader := slices.Contains(readers, s.mesh.Self.Address)
	s.isReader.Store(isReader)
	matchesSource := s.feeds.OutsideGracePeriod(clock.Now())
	if isReader && !s.feeds.SourceDown() && matchesSource {
		return
	}
	for _, a := range readers {
		sentAt := clock.Now()
		if a != s.mesh.Self.Address && s.fetchFrom(a, sentAt) {
			s.servedAt.Store(sentAt)
			return
		}
	}
	s.servedAt.Store(0)
	if s.outdated() || !matchesSource {
		s.fetchFromAny()
	}
}

// outdated reports whether this node's state is older than it can be while pulls
// from a reader succeed.
func (s *stateSync) outdated() bool {
	now := clock.Now()
	return now.Sub(s.feeds.CatalogConfirmedAt()) > freshConfigAge+pullInterval || now.Sub(s.feeds.EndpointsConfirmedAt()) > freshListAge+pullInterval
}

// fetchFromAny fetches the state from the connected peers, one after the other,
// until one of them has fresh state.
func (s *stateSync) fetchFromAny() {
	for _, a := range s.mesh.ConnectedAddresses() {
		if s.fetchFrom(a, clock.Now()) {
			return
		}
	}
}

// fetchFrom fetches the state of a peer, applies it, and reports whether it was
// fresh. sentAt is the time of the request.
func (s *stateSync) fetchFrom(address string, sentAt clock.Instant) bool {
	var args relay.StateArgs
	if c := s.feeds.Catalog(); c != nil {
		args.Version = c.Version
	}
	if f := s.feeds.Endpoints(); f != nil {
		args.List = f.ID
	}
	st, err := s.mesh.FetchState(address, args)
	if err != nil {
		s.logger.Info().Err(err).Str("peer", address).Uint64("version", uint64(args.Version)).Dur("after", clock.Now().Sub(sentAt)).Msg("sync: a peer did not answer a request for its state")
		return false
	}
	if len(st.Raw) > 0 {
		s.logger.Info().Str("peer", address).Uint64("version", uint64(st.Version)).Int("bytes", len(st.Raw)).Dur("after", clock.Now().Sub(sentAt)).Msg("sync: received a configuration")
	}
	return s.applyState(st, sentAt)
}

// applyState merges the state received from a peer into this node's, and reports
// whether it was fresh. sentAt is the time of the request.
func (s *stateSync) applyState(st relay.State, sentAt clock.Instant) bool {
	if len(st.Raw) > 0 {
		began := clock.Now()
		c, err := s.decode(st.Raw)
		if err != nil {
			s.logger.Error().Err(err).Msg("sync: cannot decode the configuration of a peer")
			return false
		}
		s.logger.Info().Uint64("version", uint64(st.Version)).Dur("after", clock.Now().Sub(began)).Msg("sync: decoded a configuration")
		s.feeds.UpdateCatalog(c)
	}
	if st.Listed && len(st.Endpoints) > 0 {
		s.feeds.UpdateEndpoints(st.Endpoints, sentAt.Add(-st.ListedAge))
	} else if st.Listed {
		s.feeds.ConfirmEndpoints(st.List, sentAt.Add(-st.ListedAge))
	}
	c := s.feeds.Catalog()
	if c == nil || !st.Proven || st.Version > c.Version {
		return false
	}
	if st.Version == c.Version {
		s.feeds.ConfirmCatalog(sentAt.Add(-st.ProvenAge))
	}
	return st.ProvenAge < freshConfigAge && st.Listed && st.ListedAge < freshListAge
}
