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
	for _, o := range t.strikes[s.Digest] {
		if o.Endpoint == s.Endpoint && s.At.Sub(o.At).Abs() < sameCrash {
			return false
		}
	}
	t.strikes[s.Digest] = append(t.strikes[s.Digest], s)
	return true
}

// Clear forgets a request that ended well.
func (t *Table) Clear(d Digest) { delete(t.strikes, d) }

// Count returns the strikes of a request that still count.
func (t *Table) Count(d Digest, now time.Time) int {
	n := 0
	for _, s := range t.strikes[d] {
		if now.Sub(s.At) < memory {
			n++
		}
	}
	return n
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
