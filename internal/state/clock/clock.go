// Package clock reads a monotonic clock that keeps running while the VM is
// suspended. The ages of the configuration and of the endpoint list are
// measured with it; other timers and measurements use the clock of the Go
// runtime. Neither moves when the time of day is set.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, counted from the boot of this VM. Time in suspend
// is included.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Now returns the time since boot. It panics if the kernel has no such clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Atomic is an Instant that is safe for concurrent use. It is zero until one is
// stored.
type Atomic struct{ v atomic.Int64 }

// Load returns the stored instant.
func (a *Atomic) Load() Instant { return Instant(a.v.Load()) }

// Store stores an instant.
func (a *Atomic) Store(i Instant) { a.v.Store(int64(i)) }

// Advance stores an instant if it is later than the stored one.
func (a *Atomic) Advance(i Instant) {
	for {
		old := a.v.Load()
		if old >= int64(i) || a.v.CompareAndSwap(old, int64(i)) {
			return
		}
	}
}

// Moment is a time of the Go runtime's clock that is safe for concurrent use. It is zero
// until one is stored. It keeps the monotonic reading, which a number of nanoseconds since
// 1970 has not, so that a step of the time of day changes neither its age nor its order.
type Moment struct{ v atomic.Pointer[time.Time] }

// Load returns the stored time.
func (m *Moment) Load() time.Time {
	if t := m.v.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Store stores a time.
func (m *Moment) Store(t time.Time) { m.v.Store(&t) }

// IsSet reports whether a time has been stored.
func (m *Moment) IsSet() bool { return m.v.Load() != nil }
