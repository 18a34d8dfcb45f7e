// Package lease folds the lease stream: who may give orders, and under which
// fencing number.
package lease

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record asks for the lease, or renews or ends it.
type Record struct {
	Holder claim.Holder
	// Number is the fencing number of the lease to renew or end; an
	// acquisition has none and gets its own offset.
	Number ident.Offset `json:",omitempty"`
	// Seq numbers the holder's records, so that it knows when it sent each.
	Seq uint64
	// Renew tells a renewal, End the end, from an acquisition.
	Renew, End bool `json:",omitempty"`
	// Length is how long the lease lasts from this record.
	Length time.Duration `json:",omitempty"`
}

// Lease is a lease that was granted.
type Lease struct {
	Holder claim.Holder
	Number ident.Offset
	// Until is when it lapses, in the log's time.
	Until time.Time
}

// Table is the state of the lease. It is not safe for concurrent use.
type Table struct {
	current Lease
	granted bool
	next    ident.Offset
}

// Apply folds the record at an offset, which the log took at the given time.
// An acquisition is granted once the lease before it has lapsed or ended.
func (t *Table) Apply(at ident.Offset, when time.Time, r Record) {
	if at < t.next {
		return
	}
	t.next = at + 1
	held := t.granted && when.Before(t.current.Until)
	switch {
	case r.Renew:
		if held && r.Number == t.current.Number {
			t.current.Until = when.Add(r.Length)
		}
	case r.End:
		if r.Number == t.current.Number {
			t.granted = false
		}
	case !held:
		t.current = Lease{r.Holder, at, when.Add(r.Length)}
		t.granted = true
	}
}

// Current returns the lease that was granted last, lapsed or not.
func (t *Table) Current() (Lease, bool) { return t.current, t.granted }
