package place

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
)

const (
	// A caller who accepts pauses of tolerantGap or more tolerates those that the
	// prefill of large parts causes in its answer. The other callers are
	// interactive.
	tolerantGap = 800 * time.Millisecond
	// poolFillPercent is the number of requests up to which an engine is filled,
	// in percent of its slots. The interactive pool is sized by it.
	poolFillPercent = 82
	// poolSpare is the number of engines in the interactive pool beyond those
	// needed.
	poolSpare = 1
	// maxPoolPrefill is the longest prefill that an engine of the pool does for
	// a caller who tolerates long pauses.
	maxPoolPrefill = 100 * time.Millisecond
	// At least one in outsidePoolDivisor engines stays outside the pool.
	outsidePoolDivisor = 7
)

// targetRequests returns the number of requests up to which an engine is filled
// before another one is used for decoding.
func targetRequests(e *topol.Engine) int { return max(1, e.Slots*poolFillPercent/100) }

// toleratesPauses reports whether a caller who accepts pauses of up to gap between events
// is not interactive.
func toleratesPauses(gap time.Duration) bool { return gap >= tolerantGap }

func (r Request) toleratesPauses() bool { return toleratesPauses(r.Gap) }

// markInteractivePool marks the engines that are kept for interactive callers:
// as many as the interactive requests in flight need, the first in the order of
// names. All nodes know nearly the same requests, so they mark nearly the same
// engines.
func markInteractivePool(vs []*engineView, s ServiceState) {
	count := 0
	for _, w := range s.InFlight {
		if w.Prompt > 0 && !toleratesPauses(w.Gap) {
			count++
		}
	}
	perEngine := targetRequests(s.Engine)
	left := (count+perEngine-1)/perEngine*perEngine + poolSpare*perEngine
	for _, v := range vs[:maxPoolSize(len(vs))] {
		if left <= 0 {
			break
		}
		v.interactive = true
		left -= v.poolRequests(perEngine)
	}
}

// poolRequests returns the number of requests for which the pool counts on an engine. One with a
// bound takes fewer; the pool is larger by that, so that its callers don't go outside of it.
func (v *engineView) poolRequests(perEngine int) int {
	if v.maxInFlight > 0 {
		return min(v.maxInFlight, perEngine)
	}
	return perEngine
}

// maxPoolSize returns the largest size of the interactive pool.
func maxPoolSize(engines int) int {
	return engines - (engines+outsidePoolDivisor-1)/outsidePoolDivisor
}
