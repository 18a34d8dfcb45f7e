package claim

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Table holds the state of all keys, computed from the records in offset order.
// It is not safe for concurrent use.
type Table struct {
	entries map[Key]*Entry
	// removalChecks is a queue of scheduled checks.
	removalChecks []removalCheck
	next          ident.Offset
	// now is the newest time of a record.
	now time.Time
}

// removalCheck is a scheduled check whether an entry can be removed. It is due
// when twice the entry's Age has passed after since, the time of a claim.
type removalCheck struct {
	key   Key
	entry *Entry
	since time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Key]*Entry{}}
}

// Result is the result of one claim.
type Result struct {
	Attempt ident.AttemptID
	// Won is set if the attempt holds the key.
	Won bool
	// Entry is the key's state after the claim.
	Entry Entry
}

// Apply applies the record that the log stored at the given offset and time,
// and returns the results of its claims. Records before the next offset are
// ignored.
func (t *Table) Apply(at ident.Offset, when time.Time, rec Record) []Result {
	if at < t.next {
		return nil
	}
	t.next = at + 1
	if when.After(t.now) {
		t.now = when
	}
	t.removeForgotten()
	var rs []Result
	for _, it := range rec.Items {
		if it.Op == Claim {
			rs = append(rs, t.claim(rec.Holder, it))
			continue
		}
		t.settle(it)
	}
	return rs
}

// claim applies a claim. The first attempt in offset order gets the key.
func (t *Table) claim(h Holder, it Item) Result {
	it.Age = max(0, min(it.Age, MaxAge))
	e, ok := t.entries[it.Key]
	if ok && e.forgotten(t.now) {
		ok = false
	}
	if ok {
		e.lastClaimed = t.now
	}
	if ok && e.Attempt == it.Attempt {
		return Result{it.Attempt, e.State == Held, *e}
	}
	if ok && (e.State != Released || e.Expired(t.now)) {
		return Result{it.Attempt, false, *e}
	}
	fresh := &Entry{State: Held, Holder: h, Attempt: it.Attempt, Request: it.Request, Digest: it.Digest, At: t.now, Age: it.Age, lastClaimed: t.now}
	if ok {
		fresh.At = e.At
		fresh.Age = max(e.Age, it.Age)
	}
	t.entries[it.Key] = fresh
	t.removalChecks = append(t.removalChecks, removalCheck{it.Key, fresh, t.now})
	return Result{it.Attempt, true, *fresh}
}

// settle applies an item that ends an attempt, if the attempt holds the key.
func (t *Table) settle(it Item) {
	if e, ok := t.entries[it.Key]; ok && e.Attempt == it.Attempt {
		e.Settle(it)
	}
}

// Settle applies an item that ends the attempt that holds the key. It has no
// effect if the attempt has ended before.
func (e *Entry) Settle(it Item) {
	if e.State != Held {
		return
	}
	switch it.Op {
	case Done:
		e.State = Answered
		e.Answer = it.Answer
	case Lost:
		e.State = Unanswered
	case Release:
		e.State = Released
	}
}

// Lookup returns the entry of a key, if there is one.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// removeForgotten removes keys that count as never claimed.
func (t *Table) removeForgotten() {
	n := 0
	for n < len(t.removalChecks) && t.now.Sub(t.removalChecks[n].since) > 2*t.removalChecks[n].entry.Age {
		check := t.removalChecks[n]
		n++
		switch {
		case t.entries[check.key] != check.entry:
		case check.entry.forgotten(t.now):
			delete(t.entries, check.key)
		default:
			t.removalChecks = append(t.removalChecks, removalCheck{check.key, check.entry, check.entry.lastClaimed})
		}
	}
	t.removalChecks = t.removalChecks[n:]
}
