// Package lease computes from the records of the lease stream which node may
// send orders to engines, and with which fencing number.
package lease

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record requests, renews or ends the lease.
type Record struct {
	Holder claim.Holder
	// Number is the fencing number of the lease to renew or end. A request for
	// the lease has none; the lease gets the offset of the request.
	Number ident.Offset `json:",omitempty"`
	// Seq numbers the records of a holder, so that the holder can find the send
	// time of a record that it reads back.
	Seq uint64
	// Renew is set to renew the lease, End to end it; neither to request it.
	Renew, End bool `json:",omitempty"`
	// Length is how long the lease lasts, counted from the log's time of this
	// record.
	Length time.Duration `json:",omitempty"`
}

// Lease is a granted lease.
type Lease struct {
	Holder claim.Holder
	Number ident.Offset
	// Until is when the lease expires, by the clock of the log.
	Until time.Time
}

// MaxLength is the longest time for which a record holds the lease. A longer one in a record
// counts as this.
const MaxLength = time.Hour

// Table is the state of the lease. It is not safe for concurrent use.
type Table struct {
	current Lease
	granted bool
	next    ident.Offset
}

// Apply applies the record that the log stored at the given offset and time. A
// request is granted if the lease before it has expired or ended.
func (t *Table) Apply(at ident.Offset, when time.Time, r Record) {
	if at < t.next {
		return
	}
	t.next = at + 1
	held := t.granted && when.Before(t.current.Until)
	switch {
	case r.Renew:
		if held && r.Number == t.current.Number {
			t.current.Until = when.Add(min(r.Length, MaxLength))
		}
	case r.End:
		if r.Number == t.current.Number {
			t.granted = false
		}
	case !held:
		t.current = Lease{r.Holder, at, when.Add(min(r.Length, MaxLength))}
		t.granted = true
	}
}

// Current returns the lease that was granted last, expired or not. It returns
// false if there was none or its holder has ended it.
func (t *Table) Current() (Lease, bool) { return t.current, t.granted }
