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
	// retryEvery is the pause after a failed call, retryMost that after several:
	// calls to a source that turns them away are not free.
	retryEvery = 250 * time.Millisecond
	retryMost  = time.Second
	// settleEvery is the pause between two reads of the endpoints while some are
	// listed that lapsed.
	settleEvery = 200 * time.Millisecond
	// followEvery is the pause between two looks at whether another node still
	// reads for this one.
	followEvery = 100 * time.Millisecond
	// outageGrace is how long endpoints stay listed that lapsed while the
	// source was away.
	outageGrace = 2200 * time.Millisecond
	// outageAfter is the time of failing reads after which the source counts as
	// having been away.
	outageAfter = time.Second
)

// Fleet is the list of endpoints at one moment. It is immutable.
type Fleet struct {
	// ID identifies the content of the list.
	ID       uint64
	Services map[ident.ServiceName][]*topol.Endpoint
	Names    map[ident.EndpointName]*topol.Endpoint
	// Addresses holds the endpoint that has an address now.
	Addresses map[string]*topol.Endpoint
}

// Feeds follows a source. The exported fields are set before Run.
type Feeds struct {
	Source  Source
	Decoder Decoder
	Logger  zerolog.Logger
	// Follows reports whether another node reads the source for this one at
	// present. Nil means never.
	Follows func() bool

	catalog atomic.Pointer[topol.Catalog]
	fleet   atomic.Pointer[Fleet]
	// proven is the moment at which the catalog was known to be the newest.
	proven clock.Atomic
	// listed is the same for the endpoints.
	listed clock.Atomic

	// away tells for each stream that the last read failed.
	away [Members]atomic.Bool

	mu      sync.Mutex
	known   map[ident.EndpointName]topol.Endpoint
	lapsing map[ident.EndpointName]clock.Instant
	// returned is when the source came back after it was away.
	returned clock.Instant
}

// Catalog returns the newest configuration, or nil if there is none yet.
func (f *Feeds) Catalog() *topol.Catalog { return f.catalog.Load() }

// Fleet returns the endpoints, or nil if they aren't known yet.
func (f *Feeds) Fleet() *Fleet { return f.fleet.Load() }

// Proven returns the moment at which the catalog was known to be the newest;
// zero if there is no catalog.
func (f *Feeds) Proven() clock.Instant { return f.proven.Load() }

// Settled reports whether the list of endpoints is as the source gives it. For
// some time after the source was away it also holds endpoints that lapsed.
func (f *Feeds) Settled(now clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returned == 0 || now.Sub(f.returned) >= outageGrace
}

// Away reports whether the source did not answer the last read of either
// stream.
func (f *Feeds) Away() bool { return f.away[Configuration].Load() || f.away[Endpoints].Load() }

// Listed returns the moment of the newest list of endpoints.
func (f *Feeds) Listed() clock.Instant { return f.listed.Load() }

// Run follows both streams until the context ends.
func (f *Feeds) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.follow(ctx, Configuration, configWait, 0, f.applyConfig); return nil })
	g.Go(func() error { f.follow(ctx, Endpoints, 0, endpointsEvery, f.applyEndpoints); return nil })
	return g.Wait()
}

// apply takes records that were the newest at a moment. Whole tells that they
// are all there is.
type apply func(rs []Record, whole bool, at clock.Instant)

// follow reads one stream. It begins anew with the newest records when those
// it needs are deleted.
func (f *Feeds) follow(ctx context.Context, s Stream, wait, every time.Duration, take apply) {
	next := ident.Offset(-1)
	var away clock.Instant
	again := retryEvery
	for ctx.Err() == nil {
		if f.Follows != nil && f.Follows() {
			// What a peer gave has no place in the stream.
			next = -1
			delay.For(ctx, followEvery)
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
			f.away[s].Store(true)
			delay.For(ctx, again)
			again = min(2*again, retryMost)
			continue
		}
		again = retryEvery
		if away > 0 {
			f.back(s, at, at.Sub(away))
		}
		away = 0
		if page.Next < next {
			// An older state than one seen before proves nothing.
			delay.For(ctx, retryEvery)
			continue
		}
		take(page.Records, next < 0, at)
		next = page.Next
		delay.For(ctx, f.pause(s, every))
	}
}

// pause is the time until the next read of a stream.
func (f *Feeds) pause(s Stream, every time.Duration) time.Duration {
	if s == Endpoints && !f.Settled(clock.Now()) {
		return min(every, settleEvery)
	}
	return every
}

// back notes that a source answers again after reads that failed.
func (f *Feeds) back(s Stream, at clock.Instant, after time.Duration) {
	f.Logger.Info().Str("stream", s.String()).Dur("after", after).Msg("feeds: source is back")
	f.away[s].Store(false)
	if s != Endpoints || after < outageAfter {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned = at
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
			f.Offer(c)
		}
	}
	if f.catalog.Load() != nil {
		f.Prove(at)
	}
}

// Offer takes a configuration if it is newer than the one in force.
func (f *Feeds) Offer(c *topol.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	f.catalog.Store(c)
	f.Logger.Info().Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("feeds: configuration in force")
}

// Prove notes that the catalog was the newest at a moment.
func (f *Feeds) Prove(at clock.Instant) { f.proven.Advance(at) }

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
		for n := range f.known {
			if !seen.Has(n) {
				f.lapse(n, at)
			}
		}
	}
	changed = f.expire(at) || changed
	f.listed.Advance(at)
	if changed {
		f.publish()
	}
}

// applyEndpoint takes one record and reports whether the list changed.
func (f *Feeds) applyEndpoint(r Record, at clock.Instant) bool {
	n := ident.EndpointName(r.Key)
	if f.known == nil {
		f.known = map[ident.EndpointName]topol.Endpoint{}
		f.lapsing = map[ident.EndpointName]clock.Instant{}
	}
	if r.Value == nil {
		f.lapse(n, at)
		return false
	}
	e, err := f.Decoder.Endpoint(r)
	if err != nil {
		f.Logger.Warn().Err(err).Str("endpoint", r.Key).Msg("feeds: endpoint's record can't be read")
		f.lapse(n, at)
		return false
	}
	delete(f.lapsing, n)
	old, ok := f.known[n]
	if ok && old == e {
		return false
	}
	f.known[n] = e
	if !ok || old.Leaving != e.Leaving || old.Address != e.Address || old.Born != e.Born {
		f.Logger.Info().Str("endpoint", r.Key).Str("address", e.Address).Str("service", string(e.Service)).Bool("leaving", e.Leaving).Bool("new", !ok).Msg("feeds: endpoint changed")
	}
	return true
}

// lapse takes an endpoint off the list, at once unless the source has just
// come back.
func (f *Feeds) lapse(n ident.EndpointName, at clock.Instant) {
	if _, ok := f.known[n]; !ok {
		return
	}
	if _, ok := f.lapsing[n]; ok {
		return
	}
	due := at
	if f.returned > 0 && at.Sub(f.returned) < outageGrace {
		due = f.returned.Add(outageGrace)
	}
	f.lapsing[n] = due
}

// expire drops the endpoints whose time is over.
func (f *Feeds) expire(at clock.Instant) bool {
	changed := false
	for n, due := range f.lapsing {
		if due > at {
			continue
		}
		f.Logger.Info().Str("endpoint", string(n)).Msg("feeds: endpoint is gone")
		delete(f.lapsing, n)
		delete(f.known, n)
		changed = true
	}
	return changed
}

func (f *Feeds) publish() {
	fl := &Fleet{
		Services:  map[ident.ServiceName][]*topol.Endpoint{},
		Names:     make(map[ident.EndpointName]*topol.Endpoint, len(f.known)),
		Addresses: make(map[string]*topol.Endpoint, len(f.known)),
	}
	h := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(f.known)) {
		e := f.known[n]
		fmt.Fprintf(h, "%+v\n", e)
		fl.Names[n] = &e
		fl.Services[e.Service] = append(fl.Services[e.Service], &e)
		if o, ok := fl.Addresses[e.Address]; !ok || o.Born < e.Born {
			fl.Addresses[e.Address] = &e
		}
	}
	fl.ID = h.Sum64()
	f.fleet.Store(fl)
}

// Snapshot is the list of endpoints and the moment at which it was the newest.
type Snapshot struct {
	// Fleet is nil if the endpoints aren't known yet.
	Fleet     *Fleet
	Endpoints []topol.Endpoint
	At        clock.Instant
}

// Snapshot returns the endpoints known, for peers.
func (f *Feeds) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{Fleet: f.fleet.Load(), Endpoints: slices.Collect(maps.Values(f.known)), At: f.Listed()}
}

// Confirm notes that a peer had the same list of endpoints at a moment.
func (f *Feeds) Confirm(id uint64, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl := f.fleet.Load()
	if fl == nil || fl.ID != id {
		return
	}
	f.listed.Advance(at)
	f.settle(at)
}

// settle ends the time after an outage in which endpoints that lapsed stay
// listed, if a peer read the source after it came back to this node: the
// outage was this node's own then.
func (f *Feeds) settle(at clock.Instant) {
	if f.returned == 0 || at <= f.returned {
		return
	}
	f.returned = 0
	for n := range f.lapsing {
		f.lapsing[n] = at
	}
	if f.expire(at) {
		f.publish()
	}
}

// Adopt takes a peer's list of endpoints if it is newer than this node's.
func (f *Feeds) Adopt(es []topol.Endpoint, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(at)
	if at <= f.Listed() {
		return
	}
	f.known = make(map[ident.EndpointName]topol.Endpoint, len(es))
	f.lapsing = map[ident.EndpointName]clock.Instant{}
	for _, e := range es {
		f.known[e.Name] = e
	}
	f.listed.Advance(at)
	f.publish()
}
