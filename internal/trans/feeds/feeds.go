package feeds

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	// minEndpointsPause is the shortest pause between two reads of the endpoints, which
	// RequestEndpoints may ask for.
	minEndpointsPause = 200 * time.Millisecond
	// minRetryPause is the pause after the first failed call. It doubles with
	// each further failure up to maxRetryPause, because even rejected calls
	// put load on the source.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = time.Second
	// graceReadInterval is the pause between two reads of the endpoints during the
	// grace period after an outage.
	graceReadInterval = 200 * time.Millisecond
	// peerCheckInterval is the longest pause between two checks whether another node
	// still reads the source for this one. Timers stand still while the VM is suspended,
	// so the pause is short even if the other node reads for longer.
	peerCheckInterval = 400 * time.Millisecond
	// outageGrace is the grace period after an outage of the source, during
	// which endpoints stay listed although their records are deleted: they may
	// have expired because of the outage.
	outageGrace = 2200 * time.Millisecond
	// keptCatalogs is the number of configurations kept as bases of changes, so
	// that a node which missed a few of them does not need a complete one.
	keptCatalogs = 8
	// keptLists is the number of endpoint lists kept as bases of changes.
	keptLists = 8
	// minOutage is how long reads must fail for the failure to count as an outage.
	minOutage = time.Second
)

// Feeds follows the configuration and the list of endpoints in a source. The
// exported fields must be set before Run.
type Feeds struct {
	Source  Source
	Decoder Decoder
	Logger  zerolog.Logger
	// ServedFor returns for how long another node reads a stream for this one; zero or less
	// if none does. Nil means that none ever does.
	ServedFor func(Stream) time.Duration
	// OnReturned is called when the evacuation of a data centre is taken back, before
	// Evacuated shows it; nil if nobody needs to know. It must not call methods of the Feeds
	// other than Catalog and Endpoints.
	OnReturned func(ident.DataCentre)
	// Bootstrap is set if the whole deployment starts for the first time: what the source has
	// lost before doesn't matter.
	Bootstrap bool

	catalog atomic.Pointer[topol.Catalog]
	list    atomic.Pointer[EndpointList]
	// catalogConfirmedAt is when the catalog was last confirmed to be the newest.
	catalogConfirmedAt clock.Atomic
	// endpointsConfirmedAt is when the list of endpoints was last confirmed to be
	// the newest.
	endpointsConfirmedAt clock.Atomic

	// evacuated is the published set of evacuated data centres; nil until it is known.
	evacuated atomic.Pointer[ident.Set[ident.DataCentre]]

	// failing is set for each stream whose last read failed. The Members stream,
	// the last one, is not followed.
	failing [Members]atomic.Bool
	// rechecks make the followers ask ServedFor again.
	rechecks [Members]signal
	// endpointsWanted ends the pause before the next read of the endpoints.
	endpointsWanted signal

	mu sync.Mutex
	// completeness holds the era of the source, too.
	completeness completeness
	// evacuations holds the evacuated data centres. configAt is where the Configuration
	// stream goes on after them and the configuration in force; its era is zero if that
	// isn't known.
	evacuations evacuations
	configAt    Position
	// recent holds the configurations that were in force last, the newest one last.
	recent []*topol.Catalog
	// updated is closed when the next configuration is put in force; nil if nobody
	// waits for one.
	updated chan struct{}
	// endpoints holds the listed endpoints, removeAt the times at which to
	// remove those whose records are deleted or can't be decoded.
	endpoints map[ident.EndpointName]topol.Endpoint
	removeAt  map[ident.EndpointName]clock.Instant
	// recentLists holds the last lists of endpoints, the newest one last.
	recentLists []*EndpointList
	rejections  rejections
	// recoveredAt is when the source answered again after an outage, or when it lost
	// records; zero if neither happened or the grace period was ended by endGrace.
	recoveredAt clock.Instant
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (f *Feeds) Catalog() *topol.Catalog { return f.catalog.Load() }

// Endpoints returns the list of endpoints, or nil if there is none yet.
func (f *Feeds) Endpoints() *EndpointList { return f.list.Load() }

// CatalogConfirmedAt returns when the catalog was last confirmed to be the newest;
// zero if it never was.
func (f *Feeds) CatalogConfirmedAt() clock.Instant { return f.catalogConfirmedAt.Load() }

// ConfirmedCatalog returns the configuration in force, and a time as of which that one is known to be
// the newest; zero if there is none. CatalogConfirmedAt, read after Catalog, may be that of a newer one.
func (f *Feeds) ConfirmedCatalog() (*topol.Catalog, clock.Instant) {
	confirmedAt := f.catalogConfirmedAt.Load()
	return f.catalog.Load(), confirmedAt
}

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

// Recheck makes this node ask ServedFor again at once, whatever it returned last.
func (f *Feeds) Recheck() {
	for i := range f.rechecks {
		f.rechecks[i].set()
	}
}

// RequestEndpoints makes this node read the endpoints soon if it reads them from the source: at
// once, but not within minEndpointsPause of the last read.
func (f *Feeds) RequestEndpoints() { f.endpointsWanted.set() }

// pause returns the time until the next read of a stream.
func (f *Feeds) pause(s Stream, interval time.Duration) time.Duration {
	if s == Endpoints && !f.OutsideGracePeriod(clock.Now()) {
		return min(interval, graceReadInterval)
	}
	return interval
}

// recordLoss records that the source lost records. If they were those of endpoints,
// the grace period begins: the endpoints write theirs again.
func (f *Feeds) recordLoss(s Stream, era uint64, at clock.Instant) {
	f.Logger.Warn().Str("stream", s.String()).Uint64("era", era).Msg("feeds: source lost records, reading the newest record of each key")
	f.beginEndpointGrace(s, at)
}

// ObserveEra records an era of the source, which this node or a peer read. In a new one, the
// operator writes lost records again: the grace period of the evacuations begins, and the
// configuration is not confirmed until then, see completeness.
func (f *Feeds) ObserveEra(era uint64) { f.observe(era, 0) }

// observe records an era, in which the source is known to be complete if that is complete.
func (f *Feeds) observe(era, complete uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.completeness.era
	if !f.completeness.hear(era, clock.Now()) {
		return
	}
	f.beginEra(old, complete)
	if old != 0 {
		f.beginEvacuationGrace(era)
	}
}

// Era returns the highest era of the source that this node knows, see Page.Era.
func (f *Feeds) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeness.era
}

// recordRecovery records that reads of a stream succeed again. If they failed for at
// least minOutage, a grace period begins.
func (f *Feeds) recordRecovery(s Stream, at clock.Instant, outage time.Duration) {
	f.Logger.Info().Str("stream", s.String()).Dur("after", outage).Msg("feeds: source answers again")
	f.failing[s].Store(false)
	if outage < minOutage {
		return
	}
	if s == Configuration {
		f.mu.Lock()
		f.beginEvacuationGrace(0)
		f.mu.Unlock()
	}
	f.beginEndpointGrace(s, at)
}

// beginEndpointGrace begins the grace period of the endpoints if a stream holds their records.
func (f *Feeds) beginEndpointGrace(s Stream, at clock.Instant) {
	if s != Endpoints {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = at
}

func (f *Feeds) applyConfig(rs []Record, _ bool, _, asOf clock.Instant) {
	for _, r := range rs {
		if _, ok := f.Decoder.Evacuation(r); ok {
			continue
		}
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
		f.ConfirmCatalog(asOf)
	}
}

// UpdateCatalog puts a configuration in force if it is newer than the current one.
// One that was decoded from a document may be modified to share memory with the
// current one.
func (f *Feeds) UpdateCatalog(c *topol.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	if old != nil && c.Raw != nil {
		c.ShareWith(old)
	}
	f.recent = append(f.recent, c)
	f.recent = f.recent[max(0, len(f.recent)-keptCatalogs):]
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
