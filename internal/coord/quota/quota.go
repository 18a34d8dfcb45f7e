// Package quota keeps the rates of requests that endpoints accept from all nodes
// together.
package quota

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
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

// Table holds the limits of endpoints. It is not safe for concurrent use.
type Table struct {
	entries map[Key]*entry
}

type entry struct {
	Limit
}

// Record records what an endpoint said, unless something later is known. It reports
// whether the limit was changed, named for the first time or ended. An endpoint that
// never named a limit isn't recorded.
func (t *Table) Record(l Limit) bool {
	e := t.entries[l.Key]
	if e == nil {
		if l.Ended {
			return false
		}
		if t.entries == nil {
			t.entries = map[Key]*entry{}
		}
		t.entries[l.Key] = &entry{Limit: l}
		return true
	}
	if !l.ObservedAt.After(e.ObservedAt) {
		return false
	}
	changed := e.Rate != l.Rate || e.Ended != l.Ended
	e.Limit = l
	return changed
}

// Len returns the number of endpoints that have named a limit.
func (t *Table) Len() int { return len(t.entries) }
