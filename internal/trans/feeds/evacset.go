package feeds

import (
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Evacuations is a copy of the set of evacuated data centres, for a peer.
type Evacuations struct {
	// InForce lists the evacuated data centres in order. Lapsing lists those of them
	// whose records the source lost: they leave the set once it is confirmed as of
	// LapseAt or later.
	InForce, Lapsing []ident.DataCentre
	LapseAt          clock.Instant
	// At is the position in the stream up to which the set reflects it.
	At Position
	// ConfirmedAt is when the set was last confirmed to be the newest.
	ConfirmedAt clock.Instant
}

// evacuationRecord is a record of the evacuation of a data centre.
type evacuationRecord struct {
	dataCentre ident.DataCentre
	deleted    bool
}

// evacuations is the set of evacuated data centres. It is not safe for concurrent use.
//
// Offsets order the states of the set within an era of the source. The times of
// confirmation don't: they are those at which reads began, and a read that began earlier
// may have seen more. They order the states only if the source has no eras.
type evacuations struct {
	// known is set once the set has been read whole or taken from a peer.
	known   bool
	inForce ident.Set[ident.DataCentre]
	// lapsing holds the members whose records are missing since the source lost records
	// or was out of reach. They are removed once the set is confirmed as of lapseAt, the
	// end of the grace period, or later.
	lapsing ident.Set[ident.DataCentre]
	lapseAt clock.Instant
	// graceEra is the last era at whose beginning this node learned, by itself or from a peer,
	// which records the source had lost.
	graceEra    uint64
	position    Position
	confirmedAt clock.Instant
}

// beginGrace begins a grace period, in which no evacuation ends because its record is
// missing. era is that of the source; zero if it isn't known.
func (e *evacuations) beginGrace(era uint64, now clock.Instant) {
	e.lapseAt = max(e.lapseAt, now.Add(outageGrace))
	e.graceEra = max(e.graceEra, era)
}

// read applies records that were read up to a position. With them, the set is the newest as
// of asOf; zero if more records follow. complete is set if they are the newest records of all keys.
func (e *evacuations) read(rs []evacuationRecord, complete bool, p Position, asOf, now clock.Instant) {
	switch {
	case complete:
		if p.isBefore(e.position) || e.crossesLoss(p) {
			// The source shows an older state, in which records may be missing.
			e.beginGrace(p.Era, now)
		}
		e.replace(inForceOf(rs), asOf)
	case !e.known || p.isBefore(e.position):
		// The set of a peer is later.
		return
	case p != e.position || p.Era == 0:
		e.change(rs)
	}
	e.known, e.position = true, p
	e.confirm(asOf)
}

// crossesLoss reports whether the source has lost records between the position of the set and a
// later one, and no grace period has begun for that loss. So it may be at a node that started
// after the loss and has the set of a peer that has not read the source since.
func (e *evacuations) crossesLoss(p Position) bool {
	return e.position.Era != 0 && p.Era > e.position.Era && !e.sawLoss(p)
}

// sawLoss reports whether this node has learned what the source had lost when the era of a
// position began.
func (e *evacuations) sawLoss(p Position) bool { return p.Era != 0 && e.graceEra >= p.Era }

// isBefore reports whether a position is known to be before another one.
func (p Position) isBefore(o Position) bool {
	if p.Era == 0 || o.Era == 0 {
		return false
	}
	return p.Era < o.Era || p.Era == o.Era && p.Next < o.Next
}

func inForceOf(rs []evacuationRecord) ident.Set[ident.DataCentre] {
	set := ident.Set[ident.DataCentre]{}
	for _, r := range rs {
		if !r.deleted {
			set.Add(r.dataCentre)
		}
	}
	return set
}

// replace replaces the set by one that was the newest at the given time. During a grace
// period, members that are missing in it stay, and lapse.
func (e *evacuations) replace(next ident.Set[ident.DataCentre], at clock.Instant) {
	lapsing := ident.Set[ident.DataCentre]{}
	for n := range e.inForce {
		if !next.Has(n) && at < e.lapseAt {
			next.Add(n)
			lapsing.Add(n)
		}
	}
	e.inForce, e.lapsing = next, lapsing
}

// change applies single records in order.
func (e *evacuations) change(rs []evacuationRecord) {
	for _, r := range rs {
		delete(e.lapsing, r.dataCentre)
		if r.deleted {
			delete(e.inForce, r.dataCentre)
		} else {
			e.inForce.Add(r.dataCentre)
		}
	}
}

// confirm records that the set was the newest at the given time, and removes the lapsing
// members if the grace period was over by then.
func (e *evacuations) confirm(at clock.Instant) {
	e.confirmedAt = max(e.confirmedAt, at)
	if e.confirmedAt < e.lapseAt {
		return
	}
	for n := range e.lapsing {
		delete(e.inForce, n)
	}
	clear(e.lapsing)
}

// merge takes the set of a peer if it is newer. It returns false if it is older than this
// node's.
func (e *evacuations) merge(o Evacuations, now clock.Instant) bool {
	if e.isOlder(o) {
		return false
	}
	sawLoss := e.sawLoss(o.At)
	if !e.hasOrder(o) || o.At != e.position {
		e.take(o, now)
	}
	if !sawLoss {
		e.adoptLapsing(o)
	}
	e.confirm(o.ConfirmedAt)
	return true
}

// hasOrder reports whether the positions of this set and that of a peer tell which is newer.
func (e *evacuations) hasOrder(o Evacuations) bool {
	return e.known && e.position.Era != 0 && o.At.Era != 0
}

// isOlder reports whether the set of a peer is older than this one.
func (e *evacuations) isOlder(o Evacuations) bool {
	if e.hasOrder(o) {
		return o.At.isBefore(e.position)
	}
	return e.known && o.ConfirmedAt <= e.confirmedAt
}

// take replaces the set by that of a peer, without what is lapsing there.
func (e *evacuations) take(o Evacuations, now clock.Instant) {
	if e.crossesLoss(o.At) {
		e.beginGrace(o.At.Era, now)
	}
	next := ident.SetOf(o.InForce...)
	for _, n := range o.Lapsing {
		delete(next, n)
	}
	e.replace(next, o.ConfirmedAt)
	e.known, e.position = true, o.At
}

// adoptLapsing takes over the lapsing evacuations of a peer that this node doesn't know,
// since it started after the source had lost them. A node that saw the loss itself has
// removed them before.
func (e *evacuations) adoptLapsing(o Evacuations) {
	if len(o.Lapsing) == 0 {
		return
	}
	for _, n := range o.Lapsing {
		if !e.inForce.Has(n) {
			e.inForce.Add(n)
			e.lapsing.Add(n)
		}
	}
	e.lapseAt = max(e.lapseAt, o.LapseAt)
	e.graceEra = max(e.graceEra, o.At.Era)
}

// copyForPeer returns a copy of the set.
func (e *evacuations) copyForPeer() Evacuations {
	return Evacuations{InForce: e.inForce.Sorted(), Lapsing: e.lapsing.Sorted(), LapseAt: e.lapseAt, At: e.position, ConfirmedAt: e.confirmedAt}
}
