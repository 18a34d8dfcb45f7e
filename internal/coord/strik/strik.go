// Package strik counts the endpoints that died with a request in flight, so
// that a request which crashes endpoints is found and refused.
package strik

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Digest identifies the workspace and content of a request.
type Digest uint64

// Strike tells that an endpoint died with a request in flight.
type Strike struct {
	Digest   Digest
	Endpoint ident.EndpointName
	At       time.Time
	// Apart tells that the request ran there as the only suspect, so that it
	// is probably the cause.
	Apart bool
}

const (
	// sameCrash is the time within which two strikes of one endpoint come
	// from one crash.
	sameCrash = time.Second
	// memory is how long strikes count.
	memory = 10 * time.Minute
)

// Table holds the strikes of a node and its peers. It is not safe for
// concurrent use.
type Table struct {
	strikes map[Digest][]Strike
}

// New returns an empty table.
func New() *Table { return &Table{strikes: map[Digest][]Strike{}} }

// Add counts a strike and reports whether it was new.
func (t *Table) Add(s Strike) bool {
	for i, o := range t.strikes[s.Digest] {
		if o.Endpoint == s.Endpoint && s.At.Sub(o.At).Abs() < sameCrash {
			t.strikes[s.Digest][i].Apart = o.Apart || s.Apart
			return false
		}
	}
	t.strikes[s.Digest] = append(t.strikes[s.Digest], s)
	return true
}

// Clear forgets a request that ended well.
func (t *Table) Clear(d Digest) { delete(t.strikes, d) }

// Len returns the number of requests with strikes.
func (t *Table) Len() int { return len(t.strikes) }

// Count is the number of strikes of a request.
type Count struct {
	// All counts the endpoints that died with the request in flight.
	All int
	// Apart counts those where it ran as the only suspect.
	Apart int
}

// Convicts reports whether a request is to be refused. Most is how many
// endpoints a request may crash that does so each time; one that was only
// near other crashes is given twice as many.
func (c Count) Convicts(most int) bool {
	return c.Apart+1 >= most || c.All >= 2*most
}

// Count returns the strikes of a request that still count.
func (t *Table) Count(d Digest, now time.Time) Count {
	var c Count
	for _, s := range t.strikes[d] {
		if now.Sub(s.At) >= memory {
			continue
		}
		c.All++
		if s.Apart {
			c.Apart++
		}
	}
	return c
}

// Recent returns the strikes since a time, for peers that missed them.
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

// Expire drops strikes that no longer count.
func (t *Table) Expire(now time.Time) {
	for d, v := range t.strikes {
		v = slices.DeleteFunc(v, func(s Strike) bool { return now.Sub(s.At) >= memory })
		if len(v) == 0 {
			delete(t.strikes, d)
			continue
		}
		t.strikes[d] = v
	}
}
