package pace

import (
	"math/bits"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
)

const (
	// firstDivisor divides the slots of an endpoint; the result is its bound on concurrent
	// requests when slow start begins. Two doublings lead from there to all slots.
	firstDivisor = 4
	// UnknownFirst is that bound for an endpoint whose load isn't known. It may be busy with
	// requests of an earlier node, and further ones would wait until those end.
	UnknownFirst = 1
	// spreadTime is how long an endpoint has room until twice as many members may use it.
	// Their requests are known to the others by then.
	spreadTime = 100 * time.Millisecond
	// minTarget is the least time to the first event that counts as a target. For a request
	// with a shorter one, which had waited before, defaultTarget applies.
	minTarget     = 100 * time.Millisecond
	defaultTarget = time.Second
	// tellTime is added to the target for a request of another node, whose first event is
	// known later.
	tellTime = 100 * time.Millisecond
	// Slow start ends after coldStarts times the time for which an endpoint is cold after a
	// start, within the bounds minSlowTime and maxSlowTime.
	coldStarts  = 4
	minSlowTime = 5 * time.Second
	maxSlowTime = time.Minute
)

// SlowTime returns the time after which slow start ends, given that for which an endpoint is
// cold after a start.
func SlowTime(coldStart time.Duration) time.Duration {
	return max(minSlowTime, min(coldStarts*coldStart, maxSlowTime))
}

// Slow holds the endpoints in slow start: each has a bound on the requests that run there at
// the same time, of all nodes together. The bound rises by one with each answer in time, so
// that it doubles within a response time, and is halved by a refusal, a failure or a late
// answer. Slow start ends when the bound reaches the slots, or after a time. It is not safe for
// concurrent use.
type Slow struct {
	entries map[quota.Key]*slowEntry
}

type slowEntry struct {
	// bound is the bound on concurrent requests, slots that at which slow start ends.
	bound, slots int
	// until is when slow start ends whatever the bound is.
	until time.Time
	// shrunkAt is when the bound was last lowered. Requests sent before don't lower it again.
	shrunkAt time.Time
	// own is the number of requests of this node that run there or are on their way.
	own  int
	rank rankCache
	// spread is how often the number of members that may use the bound was doubled because
	// fewer members left room.
	spread int
	// roomSince is since when the endpoint has room; zero if it has none.
	roomSince time.Time
}

// Turn is the right to have one request at an endpoint in slow start.
type Turn struct{ entry *slowEntry }

// Len returns the number of endpoints in slow start.
func (s *Slow) Len() int { return len(s.entries) }

// FirstBound returns the bound with which slow start of an endpoint begins.
func FirstBound(slots int) int { return max(1, slots/firstDivisor) }

// Begin begins slow start of an endpoint with a bound, or begins it again with the lower of the two
// bounds. It reports whether the endpoint is newly in slow start. One whose first bound isn't below
// its slots never is.
func (s *Slow) Begin(k quota.Key, slots, first int, limit time.Duration, now time.Time) bool {
	if first >= slots {
		return false
	}
	e := s.entries[k]
	isNew := e == nil
	if isNew {
		if s.entries == nil {
			s.entries = map[quota.Key]*slowEntry{}
		}
		e = &slowEntry{bound: first}
		s.entries[k] = e
	}
	e.slots, e.bound = slots, min(first, e.bound)
	e.until, e.shrunkAt = now.Add(limit), now
	return isNew
}

// Bound returns the largest number of requests that may run at an endpoint at the same time. It
// returns false if the endpoint is not in slow start.
func (s *Slow) Bound(k quota.Key, now time.Time) (int, bool) {
	e := s.entries[k]
	if e == nil || !now.Before(e.until) {
		return 0, false
	}
	return e.bound, true
}

// Bounds returns the sum of all bounds.
func (s *Slow) Bounds() int {
	sum := 0
	for _, e := range s.entries {
		sum += e.bound
	}
	return sum
}

// MaySend reports whether this node may send one of the requests for which the bound leaves room.
// inFlight is the number of requests that run there, as far as this node knows. If there is room
// for spreadTime, more members may use it.
func (s *Slow) MaySend(k quota.Key, inFlight int, v *View, now time.Time) bool {
	e := s.entries[k]
	if e == nil {
		return true
	}
	switch {
	case inFlight > e.bound && e.spread > 0 && !e.roomSince.IsZero():
		e.spread--
		e.roomSince = time.Time{}
	case inFlight >= e.bound:
		e.roomSince = time.Time{}
	case e.roomSince.IsZero():
		e.roomSince = now
	case now.Sub(e.roomSince) >= spreadTime && e.spread < bits.Len(uint(v.sharers()-1)):
		e.spread++
		e.roomSince = now
	}
	return e.own < e.part(k, v)
}

// part returns the number of requests that this node may have at the endpoint.
func (e *slowEntry) part(k quota.Key, v *View) int {
	n := v.sharers()
	rank := v.rank(k, &e.rank)
	if n > v.Size() {
		// Nodes that know nobody would all be the first.
		rank = v.nodes.Slot(k, n)
	}
	return min(e.bound, part(e.bound<<e.spread, n, rank))
}

// Own returns the number of requests of this node at an endpoint in slow start.
func (s *Slow) Own(k quota.Key) int {
	if e := s.entries[k]; e != nil {
		return e.own
	}
	return 0
}

// Take reports whether this node may send a request to an endpoint now. If so, and if the
// endpoint is in slow start, it returns a turn that Release gives back. isOnly is set for a
// request that could be sent nowhere else.
func (s *Slow) Take(k quota.Key, v *View, isOnly bool, now time.Time) (*Turn, bool) {
	e := s.entries[k]
	if e == nil || !now.Before(e.until) {
		return nil, true
	}
	if e.own >= e.part(k, v) && !isOnly {
		return nil, false
	}
	e.own++
	return &Turn{e}, true
}

// Release gives back a turn.
func (s *Slow) Release(t *Turn) { t.entry.own-- }

// Answer is the first event of a request at an endpoint.
type Answer struct {
	SentAt time.Time
	// Target is the time within which the caller expected the event.
	Target time.Duration
	// IsOfPeer is set if another node sent the request.
	IsOfPeer bool
}

// isInTime reports whether the event came in time if it came now.
func (a Answer) isInTime(now time.Time) bool {
	target := a.Target
	if target < minTarget {
		target = defaultTarget
	}
	if a.IsOfPeer {
		target += tellTime
	}
	return now.Sub(a.SentAt) <= target
}

// Result is what an event changed.
type Result int

// Results.
const (
	// Unchanged means that the endpoint is not in slow start, or that its bound stays.
	Unchanged Result = iota
	// Raised and Lowered mean that the bound has changed.
	Raised
	Lowered
	// Ended means that the bound has reached the slots.
	Ended
)

// Answered records the first event of a request.
func (s *Slow) Answered(k quota.Key, a Answer, now time.Time) Result {
	e := s.entries[k]
	if e == nil {
		return Unchanged
	}
	if !a.isInTime(now) {
		return s.Failed(k, a.SentAt, now)
	}
	e.bound++
	if e.bound < e.slots {
		return Raised
	}
	delete(s.entries, k)
	return Ended
}

// Unanswered records that a request ended, or is still running, without a first event. It lowers
// the bound only if the event is late.
func (s *Slow) Unanswered(k quota.Key, a Answer, now time.Time) Result {
	if a.isInTime(now) {
		return Unchanged
	}
	return s.Failed(k, a.SentAt, now)
}

// Failed records that an endpoint refused a request or failed. Of the requests that ran at the
// same time, one lowers the bound.
func (s *Slow) Failed(k quota.Key, sentAt, now time.Time) Result {
	e := s.entries[k]
	if e == nil || e.bound <= 1 || sentAt.Before(e.shrunkAt) {
		return Unchanged
	}
	e.bound /= 2
	e.shrunkAt = now
	return Lowered
}

// End ends slow start of an endpoint.
func (s *Slow) End(k quota.Key) { delete(s.entries, k) }

// Expire ends slow start of the endpoints that are gone or whose time has ended, and returns
// them.
func (s *Slow) Expire(now time.Time, exists func(quota.Key) bool) []quota.Key {
	var ended []quota.Key
	for k, e := range s.entries {
		if !now.Before(e.until) || !exists(k) {
			ended = append(ended, k)
			delete(s.entries, k)
		}
	}
	return ended
}
