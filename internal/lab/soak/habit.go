package soak

import (
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"laburnumstack.org/laburnum/internal/trans/conns"
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
var callerTraits = [...]callerTrait{
	{habit: usualHabit}, {habit: eagerHabit}, {habit: patientHabit}, {habit: usualHabit}, {eagerHabit, true}, {patientHabit, true},
}

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

// successPrefix is how a response with success begins.
const successPrefix = "HTTP/1.1 2"

// isUsable reports whether the connection is open and has no bytes to read. A success that
// answers no request is a violation.
func (c *caller) isUsable() bool {
	if c.reader.Buffered() == 0 && conns.IsIdle(c.conn) {
		return true
	}
	c.conn.SetDeadline(time.Now().Add(dialTimeout))
	b, err := c.reader.Peek(len(successPrefix))
	if err == nil && string(b) == successPrefix {
		c.journal.AddViolation("mixed", "%s sent a success on a connection without a request", c.node)
	}
	return false
}

// isEndOfConnection reports whether an error is the end of the connection, and not the
// caller's own deadline.
func isEndOfConnection(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }
