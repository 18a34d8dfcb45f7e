// Package holds computes from the records of the holds stream which reservations
// of KV memory on several engines have not ended, so that the memory can be
// released even if the node that reserved it dies.
package holds

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record is a record of the holds stream: a reservation or its end.
type Record struct {
	// Owner is the ID of the reservation, the same at all its engines.
	Owner string
	// Ended is set in the record that ends the reservation.
	Ended bool `json:",omitempty"`
	// Holder is the node that made the reservation.
	Holder claim.Holder `json:",omitzero"`
	// Engines are the engines on which memory may be reserved.
	Engines []ident.EndpointName `json:",omitempty"`
	// Until is the latest time at which the holder's request ends.
	Until time.Time `json:",omitzero"`
}

// Table holds all reservations that have not ended. It is not safe for
// concurrent use.
type Table struct {
	active map[string]Record
	next   ident.Offset
}

// New returns an empty table.
func New() *Table { return &Table{active: map[string]Record{}} }

// Apply applies the record at an offset.
func (t *Table) Apply(at ident.Offset, r Record) {
	if at < t.next {
		return
	}
	t.next = at + 1
	if r.Ended {
		delete(t.active, r.Owner)
		return
	}
	t.active[r.Owner] = r
}

// Active returns the reservations that have not ended, sorted by Until.
func (t *Table) Active() []Record {
	rs := make([]Record, 0, len(t.active))
	for _, o := range ident.SortedKeys(t.active) {
		rs = append(rs, t.active[o])
	}
	slices.SortStableFunc(rs, func(a, b Record) int { return a.Until.Compare(b.Until) })
	return rs
}
