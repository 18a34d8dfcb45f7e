package claim

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Table is the state of all keys, folded in offset order. It is not safe for
// concurrent use.
type Table struct {
	entries map[Key]*Entry
	// removals is a queue of entries to be checked for removal.
	removals []removal
	next     ident.Offset
	// now is the newest time of a record.
	now time.Time
}

// removal is an entry to be checked for removal when twice its age has passed
// since a claim at the given time.
type removal struct {
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

// Apply folds the record that the log stored at the given offset and time, and
// returns the results of its claims. Records before the next offset are ignored.
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
	if ok && (e.State != Free || e.Expired(t.now)) {
		return Result{it.Attempt, false, *e}
	}
	fresh := &Entry{State: Held, Holder: h, Attempt: it.Attempt, Request: it.Request, Digest: it.Digest, At: t.now, Age: it.Age, lastClaimed: t.now}
	if ok {
		fresh.At = e.At
		fresh.Age = max(e.Age, it.Age)
	}
	t.entries[it.Key] = fresh
	t.removals = append(t.removals, removal{it.Key, fresh, t.now})
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
		e.State = Finished
		e.Answer = it.Answer
	case Lost:
		e.State = Uncertain
	case Release:
		e.State = Free
	}
}

// Lookup returns the state of a key.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// removeForgotten removes keys that count as never claimed.
func (t *Table) removeForgotten() {
	n := 0
	for n < len(t.removals) && t.now.Sub(t.removals[n].since) > 2*t.removals[n].entry.Age {
		s := t.removals[n]
		n++
		switch {
		case t.entries[s.key] != s.entry:
		case s.entry.forgotten(t.now):
			delete(t.entries, s.key)
		default:
			t.removals = append(t.removals, removal{s.key, s.entry, s.entry.lastClaimed})
		}
	}
	t.removals = t.removals[n:]
}
