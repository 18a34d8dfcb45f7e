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
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// configWait bounds one wait for a change of the configuration. The answer
	// proves that the configuration was the newest when the wait began.
	configWait = 1200 * time.Millisecond
	// endpointsEvery is the pause between two reads of the endpoints.
	endpointsEvery = 700 * time.Millisecond
	// minRetryPause is the pause after a failed call, retryMost that after several:
	// calls to a source that turns them away are not free.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = time.Second
	// graceReadEvery is the pause between two reads of the endpoints while some are
	// listed that lapsed.
	graceReadEvery = 200 * time.Millisecond
	// peerCheckEvery is the pause between two looks at whether another node still
	// reads for this one.
	peerCheckEvery = 100 * time.Millisecond
	// outageGrace is how long endpoints stay listed that lapsed while the
	// source was away.
	outageGrace = 2200 * time.Millisecond
	// outageAfter is the time of failing reads after which the source counts as
	// having been away.
	outageAfter = time.Second
)

// EndpointList is the list of endpoints at one moment. It is immutable.
type EndpointList struct {
	// ID identifies the content of the list.
	ID        uint64
	ByService map[ident.ServiceName][]*topol.Endpoint
	ByName    map[ident.EndpointName]*topol.Endpoint
	// ByAddress holds the endpoint that has an address now.
	ByAddress map[string]*topol.Endpoint
}

// Feeds follows a source. The exported fields are set before Run.
type Feeds struct {
	Source  Source
	Decoder Decoder
	Logger  zerolog.Logger
	// ServedByPeer reports whether another node reads the source for this one at
	// present. Nil means never.
	ServedByPeer func() bool

	catalog atomic.Pointer[topol.Catalog]
	list    atomic.Pointer[EndpointList]
	// catalogConfirmedAt is the moment at which the catalog was known to be the newest.
	catalogConfirmedAt clock.Atomic
	// endpointsConfirmedAt is the same for the endpoints.
	endpointsConfirmedAt clock.Atomic

	// failing tells for each stream that the last read failed.
	failing [Members]atomic.Bool

	mu        sync.Mutex
	endpoints map[ident.EndpointName]topol.Endpoint
	removeAt  map[ident.EndpointName]clock.Instant
	// recoveredAt is when the source came back after it was away.
	recoveredAt clock.Instant
}

// Catalog returns the newest configuration, or nil if there is none yet.
func (f *Feeds) Catalog() *topol.Catalog { return f.catalog.Load() }

// Endpoints returns the endpoints, or nil if they aren't known yet.
func (f *Feeds) Endpoints() *EndpointList { return f.list.Load() }

// CatalogConfirmedAt returns the moment at which the catalog was known to be the newest;
// zero if there is no catalog.
func (f *Feeds) CatalogConfirmedAt() clock.Instant { return f.catalogConfirmedAt.Load() }

// MatchesSource reports whether the list of endpoints is as the source gives it. For
// some time after the source was away it also holds endpoints that lapsed.
func (f *Feeds) MatchesSource(now clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveredAt == 0 || now.Sub(f.recoveredAt) >= outageGrace
}

// SourceDown reports whether the source did not answer the last read of either
// stream.
func (f *Feeds) SourceDown() bool {
	return f.failing[Configuration].Load() || f.failing[Endpoints].Load()
}

// EndpointsConfirmedAt returns the moment of the newest list of endpoints.
func (f *Feeds) EndpointsConfirmedAt() clock.Instant { return f.endpointsConfirmedAt.Load() }

// Run follows both streams until the context ends.
func (f *Feeds) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.follow(ctx, Configuration, configWait, 0, f.applyConfig); return nil })
	g.Go(func() error { f.follow(ctx, Endpoints, 0, endpointsEvery, f.applyEndpoints); return nil })
	return g.Wait()
}

// applyFunc takes records that were the newest at a moment. Whole tells that they
// are all there is.
type applyFunc func(rs []Record, whole bool, at clock.Instant)

// follow reads one stream. It begins anew with the newest records when those
// it needs are deleted.
func (f *Feeds) follow(ctx context.Context, s Stream, wait, every time.Duration, take applyFunc) {
	next := ident.Offset(-1)
	var away clock.Instant
	again := minRetryPause
	for ctx.Err() == nil {
		if f.ServedByPeer != nil && f.ServedByPeer() {
			// What a peer gave has no place in the stream.
			next = -1
			delay.For(ctx, peerCheckEvery)
			continue
		}
		at := clock.Now()
		page, err := f.read(ctx, s, next, wait)
		if errors.Is(err, ErrTrimmed) {
			f.Logger.Info().Str("stream", s.String()).Int64("from", int64(next)).Msg("feeds: records are deleted, reading the newest")
			next = -1
			continue
		}
		if err != nil {
			if away == 0 && ctx.Err() == nil {
				away = at
				f.Logger.Warn().Err(err).Str("stream", s.String()).Msg("feeds: lost the source")
			}
			f.failing[s].Store(true)
			delay.For(ctx, again)
			again = min(2*again, maxRetryPause)
			continue
		}
		again = minRetryPause
		if away > 0 {
			f.recovered(s, at, at.Sub(away))
		}
		away = 0
		if page.Next < next {
			// An older state than one seen before proves nothing.
			delay.For(ctx, minRetryPause)
			continue
		}
		take(page.Records, next < 0, at)
		next = page.Next
		delay.For(ctx, f.pause(s, every))
	}
}

// pause is the time until the next read of a stream.
func (f *Feeds) pause(s Stream, every time.Duration) time.Duration {
	if s == Endpoints && !f.MatchesSource(clock.Now()) {
		return min(every, graceReadEvery)
	}
	return every
}

// recovered notes that a source answers again after reads that failed.
func (f *Feeds) recovered(s Stream, at clock.Instant, after time.Duration) {
	f.Logger.Info().Str("stream", s.String()).Dur("after", after).Msg("feeds: source is back")
	f.failing[s].Store(false)
	if s != Endpoints || after < outageAfter {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = at
}

func (f *Feeds) read(ctx context.Context, s Stream, next ident.Offset, wait time.Duration) (Page, error) {
	if next < 0 {
		return f.Source.Newest(ctx, s)
	}
	return f.Source.Read(ctx, s, next, wait)
}

func (f *Feeds) applyConfig(rs []Record, _ bool, at clock.Instant) {
	for _, r := range rs {
		c, err := f.Decoder.Catalog(r)
		if err != nil {
			f.Logger.Error().Err(err).Str("key", r.Key).Msg("feeds: configuration can't be read")
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

// UpdateCatalog takes a configuration if it is newer than the one in force.
func (f *Feeds) UpdateCatalog(c *topol.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	f.catalog.Store(c)
	f.Logger.Info().Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("feeds: configuration in force")
}

// ConfirmCatalog notes that the catalog was the newest at a moment.
func (f *Feeds) ConfirmCatalog(at clock.Instant) { f.catalogConfirmedAt.Raise(at) }

func (f *Feeds) applyEndpoints(rs []Record, whole bool, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := ident.Set[ident.EndpointName]{}
	changed := whole
	for _, r := range rs {
		seen.Add(ident.EndpointName(r.Key))
		changed = f.applyEndpoint(r, at) || changed
	}
	if whole {
		for n := range f.endpoints {
			if !seen.Has(n) {
				f.scheduleRemoval(n, at)
			}
		}
	}
	changed = f.removeDue(at) || changed
	f.endpointsConfirmedAt.Raise(at)
	if changed {
		f.publish()
	}
}

// applyEndpoint takes one record and reports whether the list changed.
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
		f.Logger.Warn().Err(err).Str("endpoint", r.Key).Msg("feeds: endpoint's record can't be read")
		f.scheduleRemoval(n, at)
		return false
	}
	delete(f.removeAt, n)
	old, ok := f.endpoints[n]
	if ok && old == e {
		return false
	}
	f.endpoints[n] = e
	if !ok || old.Leaving != e.Leaving || old.Address != e.Address || old.Born != e.Born {
		f.Logger.Info().Str("endpoint", r.Key).Str("address", e.Address).Str("service", string(e.Service)).Bool("leaving", e.Leaving).Bool("new", !ok).Msg("feeds: endpoint changed")
	}
	return true
}

// scheduleRemoval takes an endpoint off the list, at once unless the source has just
// come back.
func (f *Feeds) scheduleRemoval(n ident.EndpointName, at clock.Instant) {
	if _, ok := f.endpoints[n]; !ok {
		return
	}
	if _, ok := f.removeAt[n]; ok {
		return
	}
	due := at
	if f.recoveredAt > 0 && at.Sub(f.recoveredAt) < outageGrace {
		due = f.recoveredAt.Add(outageGrace)
	}
	f.removeAt[n] = due
}

// removeDue drops the endpoints whose time is over.
func (f *Feeds) removeDue(at clock.Instant) bool {
	changed := false
	for n, due := range f.removeAt {
		if due > at {
			continue
		}
		f.Logger.Info().Str("endpoint", string(n)).Msg("feeds: endpoint is gone")
		delete(f.removeAt, n)
		delete(f.endpoints, n)
		changed = true
	}
	return changed
}

func (f *Feeds) publish() {
	fl := &EndpointList{
		ByService: map[ident.ServiceName][]*topol.Endpoint{},
		ByName:    make(map[ident.EndpointName]*topol.Endpoint, len(f.endpoints)),
		ByAddress: make(map[string]*topol.Endpoint, len(f.endpoints)),
	}
	h := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(f.endpoints)) {
		e := f.endpoints[n]
		fmt.Fprintf(h, "%+v\n", e)
		fl.ByName[n] = &e
		fl.ByService[e.Service] = append(fl.ByService[e.Service], &e)
		if o, ok := fl.ByAddress[e.Address]; !ok || o.Born < e.Born {
			fl.ByAddress[e.Address] = &e
		}
	}
	fl.ID = h.Sum64()
	f.list.Store(fl)
}

// Snapshot is the list of endpoints and the moment at which it was the newest.
type Snapshot struct {
	// List is nil if the endpoints aren't known yet.
	List      *EndpointList
	Endpoints []topol.Endpoint
	At        clock.Instant
}

// Snapshot returns the endpoints known, for peers.
func (f *Feeds) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{List: f.list.Load(), Endpoints: slices.Collect(maps.Values(f.endpoints)), At: f.EndpointsConfirmedAt()}
}

// ConfirmEndpoints notes that a peer had the same list of endpoints at a moment.
func (f *Feeds) ConfirmEndpoints(id uint64, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl := f.list.Load()
	if fl == nil || fl.ID != id {
		return
	}
	f.endpointsConfirmedAt.Raise(at)
	f.endGrace(at)
}

// endGrace ends the time after an outage in which endpoints that lapsed stay
// listed, if a peer read the source after it came back to this node: the
// outage was this node's own then.
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

// UpdateEndpoints takes a peer's list of endpoints if it is newer than this node's.
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
	f.endpointsConfirmedAt.Raise(at)
	f.publish()
}
