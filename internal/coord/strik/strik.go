// Package strik counts the endpoint crashes during which a request, or a prompt with a
// certain part, was in flight, so that requests that crash endpoints are found and
// rejected.
package strik

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Digest identifies the workspace and content of a request.
type Digest uint64

// Strike records that an endpoint crashed with a request in flight.
type Strike struct {
	Digest   Digest
	Endpoint ident.EndpointName
	At       time.Time
	// Apart is true if the request was the only one with strikes at the endpoint,
	// so that it is probably the cause of the crash. Only trans/serve sets it.
	Apart bool
	// Parts are the shared parts of the prompt, see Parts.
	Parts []ident.PartID
	// Took is the time from when the request was sent until the connection broke.
	Took time.Duration
	// Trial is set if the request was sent as a trial of its barred parts.
	Trial bool
}

const (
	// Two strikes of a request at one endpoint within crashWindow come from the
	// same crash.
	crashWindow = time.Second
	// strikeLifetime is how long a strike counts.
	strikeLifetime = 10 * time.Minute
)

// Table holds the strikes recorded by a node and its peers. It is not safe for
// concurrent use.
type Table struct {
	strikes map[Digest][]Strike
}

// New returns an empty table.
func New() *Table { return &Table{strikes: map[Digest][]Strike{}} }

// Add records a strike and reports whether it was new.
func (t *Table) Add(s Strike) bool {
	for i, o := range t.strikes[s.Digest] {
		if o.Endpoint == s.Endpoint && s.At.Sub(o.At).Abs() < crashWindow {
			t.strikes[s.Digest][i].Apart = o.Apart || s.Apart
			return false
		}
	}
	t.strikes[s.Digest] = append(t.strikes[s.Digest], s)
	return true
}

// Clear removes the strikes of a request that succeeded.
func (t *Table) Clear(d Digest) { delete(t.strikes, d) }

// Len returns the number of requests with strikes.
func (t *Table) Len() int { return len(t.strikes) }

// Count is the number of strikes of one request.
type Count struct {
	// All is the number of crashes during which the request was in flight.
	All int
	// Apart is the number of those for which Strike.Apart is set.
	Apart int
}

// Exceeds reports whether a request has too many strikes to be run:
// maxStrikes-1 of them apart, or 2*maxStrikes in all. A request that crashes an
// endpoint each time is rejected after maxStrikes crashes, since its first
// strike is never apart: the request wasn't suspect yet. One that was only in
// flight during other crashes is rejected after twice as many.
func (c Count) Exceeds(maxStrikes int) bool {
	return c.Apart+1 >= maxStrikes || c.All >= 2*maxStrikes
}

// Count returns the number of strikes of a request that have not expired.
func (t *Table) Count(d Digest, now time.Time) Count {
	var c Count
	for _, s := range t.strikes[d] {
		if now.Sub(s.At) >= strikeLifetime {
			continue
		}
		c.All++
		if s.Apart {
			c.Apart++
		}
	}
	return c
}

// Recent returns the strikes after a time in chronological order, for peers that
// missed them.
func (t *Table) Recent(since time.Time) []Strike {
	var ss []Strike
	for _, v := range t.strikes {
		for _, s := range v {
			if s.At.After(since) {
				ss = append(ss, s)
			}
		}
	}
	slices.SortFunc(ss, func(a, b Strike) int { return a.At.Compare(b.At) })
	return ss
}

// Expire removes expired strikes.
func (t *Table) Expire(now time.Time) {
	for d, v := range t.strikes {
		v = slices.DeleteFunc(v, func(s Strike) bool { return now.Sub(s.At) >= strikeLifetime })
		if len(v) == 0 {
			delete(t.strikes, d)
			continue
		}
		t.strikes[d] = v
	}
}
