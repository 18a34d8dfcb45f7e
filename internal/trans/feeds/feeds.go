package feeds

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// configWait bounds one wait for a change of the configuration. A response
	// confirms which configuration was the newest when the wait began.
	configWait = 1200 * time.Millisecond
	// endpointsInterval is the pause between two reads of the endpoints.
	endpointsInterval = 700 * time.Millisecond
	// minRetryPause is the pause after the first failed call. It doubles with
	// each further failure up to maxRetryPause, because even rejected calls
	// put load on the source.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = time.Second
	// graceReadInterval is the pause between two reads of the endpoints during the
	// grace period after an outage.
	graceReadInterval = 200 * time.Millisecond
	// peerCheckInterval is the pause between two checks whether another node still
	// reads the source for this one.
	peerCheckInterval = 100 * time.Millisecond
	// outageGrace is the grace period after an outage of the source, during
	// which endpoints stay listed although their records are deleted: they may
	// have expired because of the outage.
	outageGrace = 2200 * time.Millisecond
	// recentCatalogs is the number of configurations kept as bases of changes, so
	// that a node which missed a few of them does not need a complete one.
	recentCatalogs = 8
	// minOutage is how long reads must fail for the failure to count as an outage.
	minOutage = time.Second
)

// EndpointList is an immutable list of endpoints with indexes.
type EndpointList struct {
	// ID is a hash of the content of the list.
	ID        uint64
	ByService map[ident.ServiceName][]*topol.Endpoint
	ByName    map[ident.EndpointName]*topol.Endpoint
	// ByAddress maps an address to the newest endpoint that has it.
	ByAddress map[string]*topol.Endpoint
}

// Feeds follows the configuration and the list of endpoints in a source. The
// exported fields must be set before Run.
type Feeds struct {
	Source  Source
	Decoder Decoder
	Logger  zerolog.Logger
	// ServedByPeer reports whether another node currently reads a stream for this
	// one. Nil means never.
	ServedByPeer func(Stream) bool

	era     atomic.Uint64
	catalog atomic.Pointer[topol.Catalog]
	list    atomic.Pointer[EndpointList]
	// catalogConfirmedAt is when the catalog was last confirmed to be the newest.
	catalogConfirmedAt clock.Atomic
	// endpointsConfirmedAt is when the list of endpoints was last confirmed to be
	// the newest.
	endpointsConfirmedAt clock.Atomic

	// configAt is where to read on after the configuration in force.
	configAt atomic.Pointer[Position]

	// failing is set for each stream whose last read failed. The Members stream,
	// the last one, is not followed.
	failing [Members]atomic.Bool

	mu sync.Mutex
	// recent holds the configurations that were in force last, the newest one last.
	recent []*topol.Catalog
	// updated is closed when the next configuration is put in force; nil if nobody
	// waits for one.
	updated chan struct{}
	// endpoints holds the listed endpoints, removeAt the times at which to
	// remove those whose records are deleted or can't be decoded.
	endpoints map[ident.EndpointName]topol.Endpoint
	removeAt  map[ident.EndpointName]clock.Instant
	// recoveredAt is when the source answered again after an outage, or when it lost
	// records; zero if neither happened or the grace period was ended by endGrace.
	recoveredAt clock.Instant
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (f *Feeds) Catalog() *topol.Catalog { return f.catalog.Load() }

// Endpoints returns the list of endpoints, or nil if there is none yet.
func (f *Feeds) Endpoints() *EndpointList { return f.list.Load() }

// CatalogConfirmedAt returns when the catalog was last confirmed to be the newest;
// zero if there is no catalog.
func (f *Feeds) CatalogConfirmedAt() clock.Instant { return f.catalogConfirmedAt.Load() }

// OutsideGracePeriod reports whether no grace period after an outage is in
// progress. During one, the list of endpoints may contain endpoints whose records
// are deleted.
func (f *Feeds) OutsideGracePeriod(now clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.inGracePeriod(now)
}

// inGracePeriod reports whether a grace period is in progress. The caller holds
// f.mu.
func (f *Feeds) inGracePeriod(now clock.Instant) bool {
	return f.recoveredAt > 0 && now.Sub(f.recoveredAt) < outageGrace
}

// SourceDown reports whether the last read of the configuration or of the
// endpoints failed.
func (f *Feeds) SourceDown() bool {
	return f.failing[Configuration].Load() || f.failing[Endpoints].Load()
}

// EndpointsConfirmedAt returns when the list of endpoints was last confirmed to
// be the newest; zero if there is no list.
func (f *Feeds) EndpointsConfirmedAt() clock.Instant { return f.endpointsConfirmedAt.Load() }

// Run reads the configuration and the endpoints until the context ends.
func (f *Feeds) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range []*follower{
		{feeds: f, stream: Configuration, wait: configWait, apply: f.applyConfig},
		{feeds: f, stream: Endpoints, interval: endpointsInterval, apply: f.applyEndpoints},
	} {
		g.Go(func() error { w.run(ctx); return nil })
	}
	return g.Wait()
}

// pause returns the time until the next read of a stream.
func (f *Feeds) pause(s Stream, interval time.Duration) time.Duration {
	if s == Endpoints && !f.OutsideGracePeriod(clock.Now()) {
		return min(interval, graceReadInterval)
	}
	return interval
}

// SetConfigPosition records where the stream goes on after the configuration in
// force, so that this node need not read it whole if it has to follow the stream
// itself. It ignores a position that is not known.
func (f *Feeds) SetConfigPosition(p Position) {
	if p.Era > 0 {
		f.configAt.Store(&p)
	}
}

// ConfigPosition returns the position last recorded by SetConfigPosition.
func (f *Feeds) ConfigPosition() Position {
	if p := f.configAt.Load(); p != nil {
		return *p
	}
	return Position{}
}

// recordLoss records that the source lost records. If they were those of endpoints,
// the grace period begins: the endpoints write theirs again.
func (f *Feeds) recordLoss(s Stream, era uint64, at clock.Instant) {
	f.Logger.Warn().Str("stream", s.String()).Uint64("era", era).Msg("feeds: source lost records, reading the newest record of each key")
	if s != Endpoints {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = at
}

// ObserveEra records an era of the source, which this node or a peer read.
func (f *Feeds) ObserveEra(era uint64) {
	for {
		old := f.era.Load()
		if era <= old || f.era.CompareAndSwap(old, era) {
			return
		}
	}
}

// Era returns the highest era of the source that this node knows, see Page.Era.
func (f *Feeds) Era() uint64 { return f.era.Load() }

// recordRecovery records that reads of a stream succeed again. If those of the
// endpoints failed for at least minOutage, the grace period begins.
func (f *Feeds) recordRecovery(s Stream, at clock.Instant, outage time.Duration) {
	f.Logger.Info().Str("stream", s.String()).Dur("after", outage).Msg("feeds: source answers again")
	f.failing[s].Store(false)
	if s != Endpoints || outage < minOutage {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = at
}

func (f *Feeds) applyConfig(rs []Record, _ bool, at clock.Instant) {
	for _, r := range rs {
		c, err := f.Decoder.Catalog(r)
		if err != nil {
			f.Logger.Error().Err(err).Str("key", r.Key).Msg("feeds: cannot decode configuration")
			continue
		}
		if c != nil {
			f.UpdateCatalog(c)
		}
	}
	if f.catalog.Load() != nil {
		f.ConfirmCatalog(at)
	}
}

// UpdateCatalog puts a configuration in force if it is newer than the current one.
// The configuration may be modified to share memory with the current one.
func (f *Feeds) UpdateCatalog(c *topol.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	if old != nil {
		c.ShareWith(old)
	}
	f.recent = append(f.recent, c)
	f.recent = f.recent[max(0, len(f.recent)-recentCatalogs):]
	f.catalog.Store(c)
	if f.updated != nil {
		close(f.updated)
		f.updated = nil
	}
	f.Logger.Info().Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("feeds: configuration in force")
}

// RecentCatalog returns the configuration with the given ID if it is one of those
// that were in force last, and otherwise nil.
func (f *Feeds) RecentCatalog(id topol.ID) *topol.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.recent {
		if c.ID() == id {
			return c
		}
	}
	return nil
}

// Updated returns a channel that is closed when the next configuration is put in
// force.
func (f *Feeds) Updated() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updated == nil {
		f.updated = make(chan struct{})
	}
	return f.updated
}

// ConfirmCatalog records that the catalog was the newest at the given time.
func (f *Feeds) ConfirmCatalog(at clock.Instant) { f.catalogConfirmedAt.Advance(at) }

func (f *Feeds) applyEndpoints(rs []Record, complete bool, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := ident.Set[ident.EndpointName]{}
	changed := complete
	for _, r := range rs {
		seen.Add(ident.EndpointName(r.Key))
		changed = f.applyEndpoint(r, at) || changed
	}
	if complete {
		for n := range f.endpoints {
			if !seen.Has(n) {
				f.scheduleRemoval(n, at)
			}
		}
	}
	changed = f.removeDue(at) || changed
	f.endpointsConfirmedAt.Advance(at)
	if changed {
		f.publish()
	}
}

// applyEndpoint applies one record and reports whether the list changed.
func (f *Feeds) applyEndpoint(r Record, at clock.Instant) bool {
	n := ident.EndpointName(r.Key)
	if f.endpoints == nil {
		f.endpoints = map[ident.EndpointName]topol.Endpoint{}
		f.removeAt = map[ident.EndpointName]clock.Instant{}
	}
	if r.Value == nil {
		f.scheduleRemoval(n, at)
		return false
	}
	e, err := f.Decoder.Endpoint(r)
	if err != nil {
		f.Logger.Warn().Err(err).Str("endpoint", r.Key).Msg("feeds: cannot decode endpoint record")
		f.scheduleRemoval(n, at)
		return false
	}
	delete(f.removeAt, n)
	old, ok := f.endpoints[n]
	if ok && old.Leaving && old.Born == e.Born && f.inGracePeriod(at) {
		// The source may show the endpoint as it was before it began to leave.
		e.Leaving = true
	}
	if ok && old == e {
		return false
	}
	f.endpoints[n] = e
	if !ok || old.Leaving != e.Leaving || old.Address != e.Address || old.Born != e.Born {
		f.Logger.Info().Str("endpoint", r.Key).Str("address", e.Address).Str("service", string(e.Service)).Bool("leaving", e.Leaving).Bool("new", !ok).Msg("feeds: endpoint added or changed")
	}
	return true
}

// scheduleRemoval marks an endpoint for removal by removeDue: at once, or at the
// end of the grace period after an outage.
func (f *Feeds) scheduleRemoval(n ident.EndpointName, at clock.Instant) {
	if _, ok := f.endpoints[n]; !ok {
		return
	}
	if _, ok := f.removeAt[n]; ok {
		return
	}
	due := at
	if f.inGracePeriod(at) {
		due = f.recoveredAt.Add(outageGrace)
	}
	f.removeAt[n] = due
}

// removeDue removes the endpoints whose removal is due and reports whether there
// were any.
func (f *Feeds) removeDue(at clock.Instant) bool {
	changed := false
	for n, due := range f.removeAt {
		if due > at {
			continue
		}
		f.Logger.Info().Str("endpoint", string(n)).Msg("feeds: endpoint removed")
		delete(f.removeAt, n)
		delete(f.endpoints, n)
		changed = true
	}
	return changed
}

func (f *Feeds) publish() {
	list := &EndpointList{
		ByService: map[ident.ServiceName][]*topol.Endpoint{},
		ByName:    make(map[ident.EndpointName]*topol.Endpoint, len(f.endpoints)),
		ByAddress: make(map[string]*topol.Endpoint, len(f.endpoints)),
	}
	h := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(f.endpoints)) {
		e := f.endpoints[n]
		fmt.Fprintf(h, "%+v\n", e)
		list.ByName[n] = &e
		list.ByService[e.Service] = append(list.ByService[e.Service], &e)
		if other, ok := list.ByAddress[e.Address]; !ok || other.Born < e.Born {
			list.ByAddress[e.Address] = &e
		}
	}
	list.ID = h.Sum64()
	f.list.Store(list)
}

// Snapshot is the list of endpoints at one moment.
type Snapshot struct {
	// List is nil if there is no list yet.
	List *EndpointList
	// Endpoints holds the endpoints of List, in no particular order.
	Endpoints []topol.Endpoint
	// At is when the list was last confirmed to be the newest.
	At clock.Instant
}

// Snapshot returns the current list of endpoints, for peers.
func (f *Feeds) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{List: f.list.Load(), Endpoints: slices.Collect(maps.Values(f.endpoints)), At: f.EndpointsConfirmedAt()}
}

// ConfirmEndpoints records that a peer had the list with the given ID as the
// newest at the given time, which may end the grace period, see endGrace. It does
// nothing if this node has another list.
func (f *Feeds) ConfirmEndpoints(id uint64, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list.Load()
	if list == nil || list.ID != id {
		return
	}
	f.endpointsConfirmedAt.Advance(at)
	f.endGrace(at)
}

// endGrace ends the grace period after an outage if a peer read the source after
// it answered this node again: the outage then affected this node only. The
// caller holds f.mu.
func (f *Feeds) endGrace(at clock.Instant) {
	if f.recoveredAt == 0 || at <= f.recoveredAt {
		return
	}
	f.recoveredAt = 0
	for n := range f.removeAt {
		f.removeAt[n] = at
	}
	if f.removeDue(at) {
		f.publish()
	}
}

// UpdateEndpoints replaces the list of endpoints by that of a peer if the peer's
// is newer; at is when the peer last confirmed its list to be the newest. Even if
// it isn't newer, it may end the grace period, see endGrace.
func (f *Feeds) UpdateEndpoints(es []topol.Endpoint, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endGrace(at)
	if at <= f.EndpointsConfirmedAt() {
		return
	}
	f.endpoints = make(map[ident.EndpointName]topol.Endpoint, len(es))
	f.removeAt = map[ident.EndpointName]clock.Instant{}
	for _, e := range es {
		f.endpoints[e.Name] = e
	}
	f.endpointsConfirmedAt.Advance(at)
	f.publish()
}
