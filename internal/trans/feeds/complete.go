package feeds

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/clock"
)

// firstEra is the era of a source that has never lost records.
const firstEra = 1

// minReadWait is the shortest wait of a read for records while the configuration is to be confirmed.
const minReadWait = 10 * time.Millisecond

// completeness tells whether the source holds again what it had lost when its era began: the
// operator writes lost records again within the grace period. Until then a configuration that is
// read may be older than the newest one, and a key valid in it that was taken away. It is not safe
// for concurrent use.
type completeness struct {
	// era is the highest era of the source that this node has heard of; zero if none.
	era uint64
	// since is the time as of which the source is complete in that era.
	since clock.Instant
	// completeEra is the highest era in which the source is known to be complete. witnessedEra
	// is the highest one, but for the first, of which this node knows it by itself: its reads
	// have shown it, or the whole deployment started in that era.
	completeEra, witnessedEra uint64
}

// hear records an era. A source that isn't in its first one has lost records, at the latest when
// this node hears of it. It returns false if the era isn't new.
func (c *completeness) hear(era uint64, now clock.Instant) bool {
	if era <= c.era {
		return false
	}
	c.era = era
	if era == firstEra {
		c.since, c.completeEra = 0, era
	} else {
		c.since = now.Add(outageGrace)
	}
	return true
}

// assume records that nothing that the source had lost when its era began matters to this node.
func (c *completeness) assume() {
	c.since, c.completeEra = 0, c.era
	if c.era != firstEra {
		c.witnessedEra = c.era
	}
}

// learn records that the source was complete in an era, which a peer or a record says, and returns
// whether that is new. Reads that have begun before may still lack records.
func (c *completeness) learn(era uint64, now clock.Instant) bool {
	if era == 0 || era != c.era || c.isComplete() {
		return false
	}
	c.since, c.completeEra = min(c.since, now), era
	return true
}

// confirms reports whether a state that was read in an era, and is that of the source as of a time,
// lacks no lost records.
func (c *completeness) confirms(era uint64, asOf clock.Instant) bool {
	if era != c.era || asOf < c.since {
		return false
	}
	if c.completeEra < era {
		c.completeEra, c.witnessedEra = era, era
	}
	return true
}

// readWait returns the longest wait of a read for records while the configuration isn't confirmed
// since the source lost some: a read must begin, and be answered, soon after it can confirm.
func (c *completeness) readWait(now clock.Instant) time.Duration {
	left := c.since.Sub(now)
	if left < -graceReadInterval {
		// Nothing confirms, for another reason.
		return graceReadInterval
	}
	return min(graceReadInterval, max(left, minReadWait))
}

// isComplete reports whether the source is known to be complete in its present era.
func (c *completeness) isComplete() bool { return c.completeEra >= c.era }

// CompleteEra returns the highest era of the source in which it is known to hold again what it had
// lost; zero if there is none.
func (f *Feeds) CompleteEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeness.completeEra
}

// WitnessedEra returns the highest era of the source, but for the first one, of which this node
// knows by itself that the source is complete; zero if there is none.
func (f *Feeds) WitnessedEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeness.witnessedEra
}

// ObserveComplete records an era as ObserveEra does, and the highest one in which the source is known
// to hold again what it had lost; zero if none is known.
func (f *Feeds) ObserveComplete(era, complete uint64) {
	f.observe(era, complete)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.completeness.learn(complete, clock.Now()) {
		f.Logger.Info().Uint64("era", complete).Msg("feeds: lost records are known to be written again")
	}
}

// ConfirmWait returns the time until a read will confirm the configuration, which none does now
// because the source has lost records. It is zero if reads confirm it, or should by now.
func (f *Feeds) ConfirmWait(now clock.Instant) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.completeness.isComplete() {
		return 0
	}
	return max(0, f.completeness.since.Add(graceReadInterval).Sub(now))
}

// beginEra decides whether the configuration waits in a new era of the source; old is the one before,
// zero if this node knew none, complete that of ObserveComplete. The caller holds f.mu.
func (f *Feeds) beginEra(old, complete uint64) {
	era := f.completeness.era
	f.completeness.learn(complete, clock.Now())
	if f.Bootstrap && old == 0 {
		f.completeness.assume()
	}
	if f.completeness.isComplete() {
		f.Logger.Info().Uint64("era", era).Msg("feeds: era of the source")
	} else {
		f.Logger.Warn().Uint64("era", era).Uint64("before", old).Dur("for", outageGrace).Msg("feeds: source has lost records, keys and unknown routes wait until they are written again")
	}
}

// confirmable returns asOf if the configuration that was read in an era, and is that of the source
// as of asOf, is known to lack no lost records, and otherwise zero.
func (f *Feeds) confirmable(era uint64, asOf clock.Instant) clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasComplete := f.completeness.isComplete()
	if asOf == 0 || !f.completeness.confirms(era, asOf) {
		return 0
	}
	if !wasComplete {
		f.Logger.Info().Uint64("era", era).Msg("feeds: lost records are written again, the configuration is confirmed")
	}
	return asOf
}
