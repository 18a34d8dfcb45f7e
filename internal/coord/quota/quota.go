// Package quota divides the rates of requests that endpoints accept from all nodes
// together between the nodes. Few nodes send to such an endpoint, so that the part of
// each is at least one request per second if the rate suffices; the parts add up to
// the rate.
package quota

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// minRate is the rate in requests per second at which an endpoint is asked
	// whether its limit has ended, even if it accepts fewer.
	minRate = 0.1
	// holdTime is how long a limit holds after it was last heard of.
	holdTime = 10 * time.Second
)

// Key identifies one start of an endpoint.
type Key struct {
	Endpoint ident.EndpointName
	// Born is the Unix time of the start in milliseconds.
	Born int64
}

// Limit is what an endpoint last said about its limit.
type Limit struct {
	Key
	// Rate is the number of requests per second that the endpoint accepts from all
	// nodes together.
	Rate float64
	// Ended is set if the endpoint no longer names a limit.
	Ended bool
	// ObservedAt is when the response arrived.
	ObservedAt time.Time
}

// Table holds the limits of endpoints and paces the requests of this node to them.
// It is not safe for concurrent use. Share must be set before use.
type Table struct {
	// Share returns the part of a rate that this node may use; zero means that
	// other nodes use all of it.
	Share func(k Key, rate float64) float64

	entries map[Key]*entry
}

type entry struct {
	Limit
	// heardAt is when this node last heard of the limit, from the endpoint or from
	// a peer.
	heardAt time.Time
	// share is the last result of Table.Share. lastAt is when this node last sent a
	// request, or when its share was no longer zero if that was later.
	share  float64
	lastAt time.Time
}

// Record records what an endpoint said, to this node or to a peer, unless something
// later is known. It reports whether the limit was changed, named for the first time
// or ended. An endpoint that never named a limit isn't recorded, nor is a rate that isn't a
// number of zero or more.
func (t *Table) Record(l Limit, now time.Time) bool {
	if !(l.Rate >= 0) {
		return false
	}
	e := t.entries[l.Key]
	if e == nil {
		if l.Ended {
			return false
		}
		if t.entries == nil {
			t.entries = map[Key]*entry{}
		}
		t.entries[l.Key] = &entry{Limit: l, heardAt: now}
		t.Wait(l.Key, now)
		return true
	}
	if l.ObservedAt.Before(e.ObservedAt) {
		return false
	}
	changed := e.Rate != l.Rate || e.Ended != l.Ended
	e.Limit, e.heardAt = l, now
	t.Wait(l.Key, now)
	return changed
}

// Len returns the number of endpoints that have named a limit.
func (t *Table) Len() int { return len(t.entries) }

// Knows reports whether anything is known of the limit of an endpoint.
func (t *Table) Knows(k Key) bool { return t.entries[k] != nil }

// Limited reports whether an endpoint names a limit.
func (t *Table) Limited(k Key) bool {
	e := t.entries[k]
	return e != nil && !e.Ended
}

// Rate returns the rate that an endpoint names, in requests per second and at least
// minRate, and whether it names one.
func (t *Table) Rate(k Key) (float64, bool) {
	if !t.Limited(k) {
		return 0, false
	}
	return max(t.entries[k].Rate, minRate), true
}

// Wait returns how long this node must wait before it may send a request to an
// endpoint. It returns false if other nodes use the whole limit; the time is then
// that between two requests of all nodes. A node that has just got a share waits as
// if it had sent a request at this moment.
func (t *Table) Wait(k Key, now time.Time) (time.Duration, bool) {
	rate, limited := t.Rate(k)
	if !limited {
		return 0, true
	}
	e := t.entries[k]
	share := t.Share(k, rate)
	if share > 0 && e.share <= 0 {
		// Another node may have just sent a request.
		e.lastAt = now
	}
	e.share = share
	if share <= 0 {
		return interval(rate), false
	}
	return max(0, e.lastAt.Add(interval(share)).Sub(now)), true
}

func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// Take reports whether this node may send a request to an endpoint now, and if so
// counts it.
func (t *Table) Take(k Key, now time.Time) bool {
	if wait, ok := t.Wait(k, now); !ok || wait > 0 {
		return false
	}
	if e := t.entries[k]; e != nil {
		e.lastAt = now
	}
	return true
}

// Limits returns the recorded limits, also those that have ended.
func (t *Table) Limits() []Limit {
	ls := make([]Limit, 0, len(t.entries))
	for _, e := range t.entries {
		ls = append(ls, e.Limit)
	}
	return ls
}

// Refresh drops what is known of endpoints that are gone or that this node has not
// heard of for holdTime, and returns the limits that the node holds on behalf of all
// nodes, because it has a share of them.
func (t *Table) Refresh(now time.Time, exists func(Key) bool) []Limit {
	var held []Limit
	for k, e := range t.entries {
		if _, ok := t.Wait(k, now); ok && !e.Ended {
			e.heardAt = now
			held = append(held, e.Limit)
		}
		if !exists(k) || now.Sub(e.heardAt) > holdTime {
			delete(t.entries, k)
		}
	}
	return held
}
