package place

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
)

const (
	// patientGap is the accepted pause from which a caller bears that large
	// parts are read beside its answer.
	patientGap = 800 * time.Millisecond
	// lanePercent of the slots of an engine of the lane are to be taken.
	lanePercent = 82
	// laneSpare is the number of engines in the lane beyond need.
	laneSpare = 1
	// lanePart is the longest time for which an engine of the lane reads for a
	// caller who bears long pauses.
	lanePart = 100 * time.Millisecond
	// patientShare is the least part of the engines that stays out of the
	// lane, one in so many.
	patientShare = 7
)

// packed is the number of requests at an engine beyond which another engine is
// opened for writing.
func packed(e *topol.Engine) int { return max(1, e.Slots*lanePercent/100) }

// patient reports whether the caller bears long pauses between events.
func (r Request) patient() bool { return r.Gap >= patientGap }

// markLane marks the engines that are kept for callers who bear short pauses
// only: as many as the requests under way need, from the front of the order.
// All nodes know nearly the same requests, so they mark nearly the same
// engines.
func markLane(vs []*view, s Scene) {
	n := 0
	for _, w := range s.Works {
		if w.Prompt > 0 && w.Gap < patientGap {
			n++
		}
	}
	each := packed(s.Engine)
	size := (n+each-1)/each + laneSpare
	most := len(vs) - (len(vs)+patientShare-1)/patientShare
	for _, v := range vs {
		v.short = v.rank < min(size, most)
	}
}
