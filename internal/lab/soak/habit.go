package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"
)

// habit is how a caller uses its connections.
type habit int

const (
	// usualHabit pauses for meanPause between requests.
	usualHabit habit = iota
	// eagerHabit doesn't pause after a success, and as usualHabit after a failure.
	eagerHabit
	// patientHabit pauses for up to four fifths of the limit for idle connections.
	patientHabit
)

const (
	// minPatience is the shortest pause of a patient caller, as a share of the limit for
	// idle connections, of which no more than maxPatience counts.
	minPatience = 0.1
	maxPatience = 5 * time.Second
	// distantDelay is the delay of the bytes of distant callers, in each direction.
	distantDelay = 10 * time.Millisecond
	// longStreamProbability is the probability that a stream has up to maxLongEvents
	// events, so that it lasts for a second or more.
	longStreamProbability = 0.15
	maxLongEvents         = 120
)

// callerTrait is the habit of a caller and whether it is far from the nodes.
type callerTrait struct {
	habit   habit
	distant bool
}

// callerTraits are the traits of the callers, in turn.
var callerTraits = [...]callerTrait{{}, {habit: eagerHabit}, {habit: patientHabit}, {}, {eagerHabit, true}, {patientHabit, true}}

// pause returns how long the caller waits before its next request.
func (c *caller) pause() time.Duration {
	switch {
	case c.trait.habit == eagerHabit && c.served:
		return 0
	case c.trait.habit == patientHabit:
		const most = float64(reusableIdleNum) / reusableIdleDen
		share := minPatience + rand.Float64()*(most-minPatience)
		return time.Duration(share * float64(min(c.idleTimeout(), maxPatience)))
	default:
		return time.Duration(rand.ExpFloat64() * float64(meanPause))
	}
}

// eventCountOfStream returns the number of events of a new stream.
func (c *caller) eventCountOfStream() int {
	if c.longStreams && rand.Float64() < longStreamProbability {
		return 1 + rand.IntN(maxLongEvents)
	}
	return 1 + rand.IntN(maxEvents)
}

// hasEnded reports whether an idle connection has ended or has bytes that belong to no
// request. It returns the latter.
func hasEnded(conn net.Conn) (ended bool, unasked string) {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return false, ""
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true, ""
	}
	var b [64]byte
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		// The deadline of the request before has passed.
		return !errors.Is(err, os.ErrDeadlineExceeded), ""
	}
	if errors.Is(peekErr, syscall.EAGAIN) {
		return false, ""
	}
	return true, string(b[:max(n, 0)])
}

// isEndOfConnection reports whether an error is the end of the connection, and not the
// caller's own deadline.
func isEndOfConnection(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }
