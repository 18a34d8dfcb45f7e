// Package clock reads the clock that also runs while a VM is suspended. What
// decides by the age of knowledge uses it; timers and measurements use the
// runtime's own clock.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the clock of this VM since its boot.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the moment d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Now returns the present moment.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Atomic is a moment that goroutines share; zero until one is stored.
type Atomic struct{ v atomic.Int64 }

// Load returns the moment.
func (a *Atomic) Load() Instant { return Instant(a.v.Load()) }

// Store sets the moment.
func (a *Atomic) Store(i Instant) { a.v.Store(int64(i)) }

// Advance sets the moment if it is later than the one stored.
func (a *Atomic) Advance(i Instant) {
	for {
		old := a.v.Load()
		if old >= int64(i) || a.v.CompareAndSwap(old, int64(i)) {
			return
		}
	}
}
