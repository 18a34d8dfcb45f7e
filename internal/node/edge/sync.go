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
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxReadersTried is the number of readers that one pull tries before it tries
	// the nodes that stand in for them.
	maxReadersTried = 3
	// The nodes of a data centre stand in for the readers in turn: the first
	// firstTurns ones with firstTurnDelay between them, the others after
	// laterTurnDelay, with laterTurnStep between them.
	firstTurns     = 4
	firstTurnDelay = 100 * time.Millisecond
	laterTurnDelay = 3 * time.Second
	laterTurnStep  = 200 * time.Millisecond
	// pullInterval is the pause between two pulls of the state from a reader.
	pullInterval = 450 * time.Millisecond
	// minPullInterval is the shortest pause between two pulls, which requestEndpoints may ask
	// for.
	minPullInterval = 200 * time.Millisecond
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
	// maxLapseIn bounds the time for which a peer may keep evacuations whose records the
	// store has lost.
	maxLapseIn = 10 * time.Second
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

	// servedAt is, for the configuration and for the endpoints, when the last
	// request was sent that a reader answered with fresh state.
	servedAt [feeds.Members]clock.Atomic
	// turnAt is, for the same streams, when this node is to read the store itself
	// because no node that it pulls from has a fresh copy; zero while one has.
	turnAt [feeds.Members]clock.Atomic
	// isStarting is set while askPeers asks the peers for their state.
	isStarting atomic.Bool
	// isReader is set while this node reads the store for others.
	isReader atomic.Bool
	// changes holds encoded changes of the configuration for peers.
	changes *changeStore
	// transferring is set while a transfer is under way.
	transferring atomic.Bool
	// transferFailed is set after a transfer failed with all peers, until the
	// configuration in force is the newest again.
	transferFailed atomic.Bool
	// needsWhole is set if a change had a wrong result: the next one must be the whole
	// configuration, or the whole list of endpoints.
	needsWhole, needsWholeList atomic.Bool
	// endpointsWanted ends the pause before the next pull.
	endpointsWanted chan struct{}
}

// newStateSync returns a stateSync that is connected to the mesh.
func newStateSync(f *feeds.Feeds, m *share.Mesh, decode func([]byte) (*topol.Catalog, error), l zerolog.Logger) *stateSync {
	s := &stateSync{feeds: f, mesh: m, decode: decode, logger: l, changes: &changeStore{feeds: f, logger: l}, endpointsWanted: make(chan struct{}, 1)}
	m.State, m.Change = s.state, s.changes.serve
	return s
}

// servedFor returns for how long this node need not read a stream from the store
// itself: it currently gets a fresh copy from a reader, or it is not yet its turn to
// stand in for the readers.
func (s *stateSync) servedFor(st feeds.Stream) time.Duration {
	if s.isReader.Load() || st == feeds.Configuration && s.transferFailed.Load() {
		return 0
	}
	now := clock.Now()
	if t := s.turnAt[st].Load(); t > 0 {
		return t.Sub(now)
	}
	return s.servedAt[st].Load().Add(readerTimeout).Sub(now)
}

// turnDelay returns how long a node waits until it reads the store itself, once no node
// has a fresh copy, by its rank in its data centre. The first nodes stand in for the
// readers at once; most nodes would only add to the load of a store in trouble, and
// get the state from the first ones if the store answers these.
func turnDelay(rank int) time.Duration {
	if rank < firstTurns {
		return time.Duration(rank) * firstTurnDelay
	}
	return laterTurnDelay + time.Duration(rank-firstTurns)*laterTurnStep
}

// run pulls the state at intervals until the context ends.
func (s *stateSync) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.pause(ctx)
		s.mesh.Sweep(time.Now())
		s.pull()
	}
}

// requestEndpoints asks for a newer list of endpoints: this node reads it from the store or from
// a reader soon.
func (s *stateSync) requestEndpoints() {
	s.feeds.RequestEndpoints()
	select {
	case s.endpointsWanted <- struct{}{}:
	default:
	}
}

// pause waits until the next pull.
func (s *stateSync) pause(ctx context.Context) {
	delay.For(ctx, minPullInterval)
	t := time.NewTimer(pullInterval - minPullInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.endpointsWanted:
	case <-t.C:
	}
}

// pull fetches the state from a reader. If this node is a reader whose own copy is in
// step with the store, it only takes a newer version of the configuration. If no
// reader has a fresh copy of a stream, pull fetches the state from any peer if this
// node's copy is outdated or its endpoint list may differ from the store's.
func (s *stateSync) pull() {
	readers := s.mesh.Readers(time.Now())
	isReader := slices.Contains(readers, s.mesh.Self.Address)
	if !s.isReader.Swap(isReader) && isReader {
		s.feeds.Recheck()
	}
	matchesSource := s.feeds.OutsideGracePeriod(clock.Now())
	if isReader && !s.feeds.SourceDown() && matchesSource {
		s.takeNewerVersion(readers)
		return
	}
	served := s.pullFrom(readers)
	if !served.all() && (s.outdated() || !matchesSource) {
		s.fetchFromAny()
	}
}

// pullFrom fetches the state from the readers, and from the nodes that stand in for
// them, until there is a fresh copy of each stream. If there is none of a stream, it
// sets the turn of this node.
func (s *stateSync) pullFrom(readers []string) freshness {
	var served freshness
	answered, lacksEvacuations, recovering := false, false, clock.Instant(0)
	backups, rank := s.mesh.Backups(time.Now())
	tried := ident.SetOf(s.mesh.Self.Address)
	for _, a := range append(readers[:min(maxReadersTried, len(readers))], backups...) {
		if served.all() {
			break
		}
		if tried.Has(a) {
			continue
		}
		tried.Add(a)
		sentAt := clock.Now()
		st, ok := s.fetchState(a, sentAt)
		if !ok {
			continue
		}
		answered = true
		lacksEvacuations = lacksEvacuations || st.Proven && st.ProvenAge < freshConfigAge && !st.EvacuationsKnown
		s.applyNewer(a, st)
		served.add(s.applyState(st, sentAt), sentAt)
		if st.Recovering {
			recovering = sentAt
		}
	}
	if served[feeds.Endpoints] == 0 {
		// The reader keeps the list of before the outage for a while, and so does this
		// node.
		served[feeds.Endpoints] = recovering
	}
	switch {
	case !answered:
		rank = 0
	case lacksEvacuations:
		// Peers of an older build follow the store, but don't tell the evacuated data
		// centres, and none of the first nodes may be of this build. The turns of the
		// later nodes would be too late for an evacuation.
		rank = min(rank, firstTurns-1)
	}
	s.setTurns(served, rank)
	return served
}

// setTurns sets when this node is to read the streams of which no node has a fresh
// copy. rank is the node's index in its data centre.
func (s *stateSync) setTurns(served freshness, rank int) {
	for i, at := range served {
		switch {
		case at > 0:
			s.servedAt[i].Store(at)
			s.turnAt[i].Store(0)
		case rank == 0:
			s.turnAt[i].Store(1)
			s.feeds.Recheck()
		case s.turnAt[i].Load() == 0:
			s.turnAt[i].Store(clock.Now().Add(turnDelay(rank)))
		}
	}
}

// takeNewerVersion takes a version of the configuration, and evacuations, that another
// reader got earlier. It confirms no configuration: this node reads the store itself.
func (s *stateSync) takeNewerVersion(readers []string) {
	i := slices.IndexFunc(readers, func(a string) bool { return a != s.mesh.Self.Address })
	if i < 0 {
		return
	}
	sentAt := clock.Now()
	if st, ok := s.fetchState(readers[i], sentAt); ok {
		s.applyNewer(readers[i], st)
		s.feeds.ObserveEra(st.Era)
		s.applyEvacuations(st, sentAt)
	}
}

// outdated reports whether this node's state is older than it can be while pulls
// from a reader succeed.
func (s *stateSync) outdated() bool {
	now := clock.Now()
	confirmedAt := min(s.feeds.CatalogConfirmedAt(), s.feeds.EvacuationsConfirmedAt())
	return now.Sub(confirmedAt) > freshConfigAge+pullInterval || now.Sub(s.feeds.EndpointsConfirmedAt()) > freshListAge+pullInterval
}

// fetchFromAny fetches the state from the connected peers, one after the other,
// until one of them has fresh state.
func (s *stateSync) fetchFromAny() {
	for _, a := range s.mesh.ConnectedAddresses() {
		if fresh := s.fetchFrom(a, clock.Now()); fresh.all() {
			return
		}
	}
}

// fetchFrom fetches the state of a peer, applies it, and reports which streams it
// had a fresh copy of. sentAt is the time of the request.
func (s *stateSync) fetchFrom(address string, sentAt clock.Instant) (fresh freshStreams) {
	st, ok := s.fetchState(address, sentAt)
	if !ok {
		return fresh
	}
	s.applyNewer(address, st)
	return s.applyState(st, sentAt)
}

// fetchState fetches the state of a peer, and reports whether it got it.
func (s *stateSync) fetchState(address string, sentAt clock.Instant) (relay.State, bool) {
	args := relay.StateArgs{Version: s.feeds.Catalog().ID().Version, Base: s.base(), Format: topol.ChangeFormat, Starts: s.isStarting.Load()}
	if !s.needsWholeList.Load() {
		args.List = s.feeds.Endpoints().ListID()
	}
	st, err := s.mesh.FetchState(address, args)
	if err != nil {
		s.logger.Debug().Err(err).Str("peer", address).Uint64("version", uint64(args.Version)).Dur("after", clock.Now().Sub(sentAt)).Msg("sync: a peer did not answer a request for its state")
		return relay.State{}, false
	}
	return st, true
}
