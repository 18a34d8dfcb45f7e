package edge

import (
	"sync/atomic"

	"laburnumstack.org/laburnum/internal/state/clock"
)

// atomicInstant is a moment that goroutines share.
type atomicInstant struct{ v atomic.Int64 }

func (a *atomicInstant) load() clock.Instant   { return clock.Instant(a.v.Load()) }
func (a *atomicInstant) store(i clock.Instant) { a.v.Store(int64(i)) }
