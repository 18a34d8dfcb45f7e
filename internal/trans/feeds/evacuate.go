package feeds

import (
	"maps"
	"time"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Evacuated returns the evacuated data centres. The set is nil until it is known. It must not
// be modified.
func (f *Feeds) Evacuated() ident.Set[ident.DataCentre] {
	if s := f.evacuated.Load(); s != nil {
		return *s
	}
	return nil
}

// EvacuationsKnown reports whether it is known which data centres are evacuated.
func (f *Feeds) EvacuationsKnown() bool { return f.evacuated.Load() != nil }

// EvacuationsConfirmedAt returns when the set of evacuated data centres was last confirmed
// to be the newest; zero if it isn't known.
func (f *Feeds) EvacuationsConfirmedAt() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.confirmedAt
}

// EvacuationState returns a copy of the set of evacuated data centres, and where the
// stream goes on after it and after the configuration in force. It returns false if the
// set isn't known.
func (f *Feeds) EvacuationState() (e Evacuations, resume Position, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.copyForPeer(), f.configAt, f.evacuations.known
}

// MergeEvacuations takes the set of a peer if it is newer. Together with it, or with an equal
// one, it takes the position at which the stream goes on, so that this node need not read
// it whole if it has to follow it itself. resume is the zero value if it isn't known.
func (f *Feeds) MergeEvacuations(e Evacuations, resume Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuations.merge(e, clock.Now()) {
		return
	}
	if resume.Era > 0 && !resume.isBefore(f.configAt) {
		f.configAt = resume
	}
	f.publishEvacuations(e.ConfirmedAt)
}

// applyEvacuations applies those of the records of a page of the Configuration stream that
// are of evacuations. The stream goes on at p. With the page, the set is the newest as of asOf;
// zero if that isn't known. The records of the configuration itself have been applied before.
func (f *Feeds) applyEvacuations(rs []Record, complete bool, p Position, asOf clock.Instant) {
	var es []evacuationRecord
	for _, r := range rs {
		if n, ok := f.Decoder.Evacuation(r); ok {
			es = append(es, evacuationRecord{dataCentre: n, deleted: r.Value == nil})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations.read(es, complete, p, asOf, clock.Now())
	if p.Era > 0 && f.evacuations.known {
		f.configAt = p
	}
	f.publishEvacuations(f.evacuations.confirmedAt)
}

// publishEvacuations publishes the set if it has changed, and logs each change. at is when
// the change was last confirmed. The caller holds f.mu.
func (f *Feeds) publishEvacuations(at clock.Instant) {
	e := &f.evacuations
	old := f.Evacuated()
	if !e.known || old != nil && maps.Equal(old, e.inForce) {
		return
	}
	set := maps.Clone(e.inForce)
	if f.OnReturned != nil {
		for _, n := range old.Sorted() {
			if !set.Has(n) {
				f.OnReturned(n)
			}
		}
	}
	f.evacuated.Store(&set)
	f.logEvacuations(old, set, clock.Now().Sub(at))
}

// logEvacuations logs the evacuations that have come into force and those that have ended. age
// is the time since that was confirmed.
func (f *Feeds) logEvacuations(old, set ident.Set[ident.DataCentre], age time.Duration) {
	for _, n := range set.Sorted() {
		if !old.Has(n) {
			f.Logger.Info().Str("dataCentre", string(n)).Dur("age", age).Msg("feeds: evacuation of a data centre in force")
		}
	}
	for _, n := range old.Sorted() {
		if !set.Has(n) {
			f.Logger.Info().Str("dataCentre", string(n)).Dur("age", age).Msg("feeds: evacuation of a data centre taken back")
		}
	}
}

// beginEvacuationGrace begins a grace period of the evacuations, see evacuations.beginGrace. The
// caller holds f.mu.
func (f *Feeds) beginEvacuationGrace(era uint64) {
	f.evacuations.beginGrace(era, clock.Now())
	if n := len(f.evacuations.inForce); n > 0 {
		f.Logger.Info().Int("evacuations", n).Uint64("era", era).Dur("for", outageGrace).Msg("feeds: evacuations whose records are missing stay in force for a while")
	}
}

// configWaitNow returns the longest wait for a record of the Configuration stream: while
// evacuations lapse, a read must begin soon after the end of the grace period, and while the
// configuration isn't confirmed since records were lost, it must be confirmed soon after that.
func (f *Feeds) configWaitNow(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Catalog() != nil && f.CatalogConfirmedAt() < f.completeness.since {
		limit = min(limit, f.completeness.readWait(clock.Now()))
	}
	if len(f.evacuations.lapsing) == 0 {
		return limit
	}
	left := f.evacuations.lapseAt.Sub(clock.Now())
	return min(limit, max(left, graceReadInterval))
}

// resumeAt returns where the Configuration stream goes on after the configuration and the
// evacuations in force; its era is zero if that isn't known.
func (f *Feeds) resumeAt() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configAt
}
