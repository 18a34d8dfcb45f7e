// Package jumps simulates steps of the wall clock: it returns times as time.Now would
// return them after the time of day has been set.
package jumps

import (
	"time"
	"unsafe"
)

const (
	// hasMonotonic is the flag in the wall word of a time with a monotonic reading. Such a
	// word holds the seconds of the time of day above the lowest nanosecondBits bits.
	hasMonotonic   = 1 << 63
	nanosecondBits = 30
)

// layout is the memory layout of time.Time.
type layout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

// Step returns the time that would be read in place of t after a step of the time of day by
// a number of seconds. The monotonic reading stays the same. It panics if t has none.
func Step(t time.Time, seconds int) time.Time {
	l := (*layout)(unsafe.Pointer(&t))
	if l.wall&hasMonotonic == 0 {
		panic("jumps: time without a monotonic reading")
	}
	l.wall += uint64(int64(seconds) << nanosecondBits)
	return t
}
