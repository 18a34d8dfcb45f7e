// Package holds folds the records of memory that is held on several engines,
// so that it is released even if its owner dies.
package holds

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record is one record of the hold stream.
type Record struct {
	// Owner names the reservation at the engines.
	Owner string
	// Ended tells that the memory is free again.
	Ended  bool         `json:",omitempty"`
	Holder claim.Holder `json:",omitzero"`
	// Engines are those that may hold memory.
	Engines []ident.EndpointName `json:",omitempty"`
	// Until is when the holder's request ends at the latest.
	Until time.Time `json:",omitzero"`
}

// Table is the state of all holds. It is not safe for concurrent use.
type Table struct {
	active map[string]Record
	next   ident.Offset
}

// New returns an empty table.
func New() *Table { return &Table{active: map[string]Record{}} }

// Apply folds the record at an offset.
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

// Active returns the holds that have not ended, in the order of their ends.
func (t *Table) Active() []Record {
	rs := make([]Record, 0, len(t.active))
	for _, o := range ident.SortedKeys(t.active) {
		rs = append(rs, t.active[o])
	}
	slices.SortStableFunc(rs, func(a, b Record) int { return a.Until.Compare(b.Until) })
	return rs
}
