// Package clock reads the clock that also runs while a VM is suspended. What
// decides by the age of knowledge uses it; timers and measurements use the
// runtime's own clock.
package clock

import (
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
