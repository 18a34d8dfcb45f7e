package pace

import (
	"math"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
)

const (
	// minWindow is the shortest time for which a part of the allowance holds. It is longer than the
	// second for which the bound holds, since requests may arrive up to 100 ms less apart
	// than they were sent.
	minWindow = 1100 * time.Millisecond
	// connectTime is the longest time from the decision on a send until the request is
	// written. It covers a connection of this node and one over a peer.
	connectTime = 1500 * time.Millisecond
	// maxAllowance bounds the requests in a window, so that the time between two of them
	// is above zero.
	maxAllowance = 1 << 20
)

// Rate bounds the requests to one cold endpoint.
type Rate struct {
	// PerSecond is the number of requests per second that the endpoint tolerates from all
	// nodes together; zero means no bound.
	PerSecond float64
	// In no second may it get more than PerSecond * Overage + Slack.
	Overage, Slack float64
}

// Max returns the largest number of requests in any second, at least one: a rate below one
// request per second bounds the time between two requests.
func (r Rate) Max() int {
	return max(1, int(min(maxAllowance, r.PerSecond*r.Overage+r.Slack)))
}

// allowance returns the number of requests that all members together may send in each window.
// If some of the members are silent, it is higher, so that the parts of the others add up to
// the rate, but leaves half of the margin to the bound.
func (r Rate) allowance(members, alive int) int {
	most := float64(r.Max())
	aim := min(most, r.PerSecond*minWindow.Seconds())
	scaled := aim * float64(members) / float64(max(1, min(alive, members)))
	return max(1, int(min(scaled, aim+(most-aim)/2)))
}

// window returns the time for which a part of the allowance holds: longer for a rate that
// doesn't allow a request in each window.
func (r Rate) window() time.Duration {
	aim := r.PerSecond * minWindow.Seconds()
	if aim >= 1 {
		return minWindow
	}
	return time.Duration(min(float64(minWindow)/aim, math.MaxInt64/4))
}

// Cold holds which endpoints are cold, and what this node may send to them. It is not safe
// for concurrent use.
type Cold struct {
	entries map[quota.Key]*coldEntry
}

type coldEntry struct {
	rate Rate
	// statedUntil is until when the endpoint said that it is cold, assumedUntil until when
	// this node takes it for cold whatever the endpoint says.
	statedUntil, assumedUntil time.Time
	rank                      rankCache
	// part is the number of requests that this node may send in a window.
	part int
	// isPlanned is set once part has been found.
	isPlanned bool
	// raiseAt is when a higher part takes effect, since the node that had it may have just
	// used it; zero if there is none.
	raiseAt time.Time
	// nextAt is when this node may send the next request.
	nextAt time.Time
	// pendingUntil is set while a request has been taken but may not have been written.
	pendingUntil time.Time
}

func (e *coldEntry) until() time.Time {
	if e.assumedUntil.After(e.statedUntil) {
		return e.assumedUntil
	}
	return e.statedUntil
}

// Len returns the number of endpoints that are or were cold lately.
func (c *Cold) Len() int { return len(c.entries) }

// RecordStated records that an endpoint stated that it remains cold for a time, which replaces what
// it stated before. It reports whether the endpoint has become cold by that.
func (c *Cold) RecordStated(k quota.Key, r Rate, left time.Duration, now time.Time) bool {
	was := c.IsCold(k, now)
	if e := c.entry(k, r, left > 0); e != nil {
		e.statedUntil = now.Add(left)
	}
	return c.IsCold(k, now) && !was
}

// Assume records that an endpoint is cold for a time, whatever it states. It reports whether
// the endpoint has become cold by that.
func (c *Cold) Assume(k quota.Key, r Rate, left time.Duration, now time.Time) bool {
	was := c.IsCold(k, now)
	if e := c.entry(k, r, left > 0); e != nil && now.Add(left).After(e.assumedUntil) {
		e.assumedUntil = now.Add(left)
	}
	return c.IsCold(k, now) && !was
}

// entry returns the entry of an endpoint, and adds one if create is set.
func (c *Cold) entry(k quota.Key, r Rate, create bool) *coldEntry {
	e := c.entries[k]
	if e == nil && create {
		if c.entries == nil {
			c.entries = map[quota.Key]*coldEntry{}
		}
		e = &coldEntry{}
		c.entries[k] = e
	}
	if e != nil {
		e.rate = r
	}
	return e
}

// IsCold reports whether an endpoint is cold.
func (c *Cold) IsCold(k quota.Key, now time.Time) bool {
	e := c.entries[k]
	return e != nil && now.Before(e.until())
}

// IsBounded reports whether an endpoint is cold and the requests to it are bounded.
func (c *Cold) IsBounded(k quota.Key, now time.Time) bool {
	return c.IsCold(k, now) && c.entries[k].rate.PerSecond > 0
}

// Left returns the time for which an endpoint remains cold.
func (c *Cold) Left(k quota.Key, now time.Time) time.Duration {
	if !c.IsCold(k, now) {
		return 0
	}
	return c.entries[k].until().Sub(now)
}

// Wait returns how long this node must wait before it may send a request to an endpoint. It
// returns false if it has no part of the allowance; the time is then that until another
// member may send a request, or until the endpoint is no longer cold.
func (c *Cold) Wait(k quota.Key, v *View, now time.Time) (time.Duration, bool) {
	if !c.IsBounded(k, now) {
		return 0, true
	}
	e, left := c.entries[k], c.Left(k, now)
	if !v.IsSettled(now) {
		e.isPlanned = false
		if v.settledAt.IsZero() {
			return left, false
		}
		return min(left, v.settledAt.Sub(now)), false
	}
	e.plan(k, v, now)
	switch {
	case e.part == 0:
		return min(left, e.rate.window()/time.Duration(e.rate.allowance(v.Size(), v.alive))), false
	case now.Before(e.pendingUntil):
		return min(left, e.pendingUntil.Sub(now)), true
	}
	return min(left, max(0, e.nextAt.Sub(now))), true
}

// plan finds the part of the allowance that this node has.
func (e *coldEntry) plan(k quota.Key, v *View, now time.Time) {
	allowance, rank := e.rate.allowance(v.Size(), v.alive), v.rank(k, &e.rank)
	p := part(allowance, v.Size(), rank)
	switch {
	case !e.isPlanned:
		// The members begin one after the other.
		e.isPlanned, e.part, e.raiseAt = true, p, time.Time{}
		e.delayNext(now.Add(e.rate.window() / time.Duration(allowance) * time.Duration(1+rank%allowance)))
	case p <= e.part:
		e.part, e.raiseAt = p, time.Time{}
	case e.raiseAt.IsZero():
		e.raiseAt = now.Add(e.rate.window())
	case !now.Before(e.raiseAt):
		e.part, e.raiseAt = p, time.Time{}
	}
}

func (e *coldEntry) delayNext(t time.Time) {
	if t.After(e.nextAt) {
		e.nextAt = t
	}
}

// Take reports whether this node may send a request to an endpoint now, and if so counts it.
// The caller then calls Sent when the request is written, or Abandon if it isn't. Until then, but
// no longer than connectTime, no other request can be taken.
func (c *Cold) Take(k quota.Key, v *View, now time.Time) bool {
	if wait, ok := c.Wait(k, v, now); !ok || wait > 0 {
		return false
	}
	if c.IsBounded(k, now) {
		e := c.entries[k]
		e.nextAt, e.pendingUntil = now.Add(e.interval()), now.Add(connectTime)
	}
	return true
}

// Sent reports whether a request that was taken at a time may be written now, and if so counts
// it again: the next one follows in due time after this one.
func (c *Cold) Sent(k quota.Key, takenAt, now time.Time) bool {
	if !c.IsBounded(k, now) {
		return true
	}
	if now.Sub(takenAt) >= connectTime {
		// Another one may have been taken since.
		return false
	}
	e := c.entries[k]
	e.pendingUntil = time.Time{}
	e.delayNext(now.Add(e.interval()))
	return true
}

// Abandon records that a request which was taken is not written.
func (c *Cold) Abandon(k quota.Key) {
	if e := c.entries[k]; e != nil {
		e.pendingUntil = time.Time{}
	}
}

// interval returns the time between two requests of this node.
func (e *coldEntry) interval() time.Duration { return e.rate.window() / time.Duration(max(1, e.part)) }

// Expire forgets the endpoints that are gone or no longer cold, and returns them.
func (c *Cold) Expire(now time.Time, exists func(quota.Key) bool) []quota.Key {
	var warm []quota.Key
	for k := range c.entries {
		if c.IsCold(k, now) && exists(k) {
			continue
		}
		warm = append(warm, k)
		delete(c.entries, k)
	}
	return warm
}
