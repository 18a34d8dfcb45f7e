package claim

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Table is the state of all keys, folded in offset order. It is not safe for
// concurrent use.
type Table struct {
	entries map[Key]*Entry
	// order lists entries by the time at which they are looked at for removal.
	order []slot
	next  ident.Offset
	// now is the newest log time seen.
	now time.Time
}

type slot struct {
	key   Key
	entry *Entry
	at    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Key]*Entry{}}
}

// Ruling is the result of one claim.
type Ruling struct {
	Attempt ident.AttemptID
	// Won tells that the attempt holds the key.
	Won bool
	// Entry is the key's state after the claim.
	Entry Entry
}

// Apply folds the record at an offset and returns the rulings on its claims.
// Records before the next offset are ignored.
func (t *Table) Apply(at ident.Offset, when time.Time, rec Record) []Ruling {
	if at < t.next {
		return nil
	}
	t.next = at + 1
	if when.After(t.now) {
		t.now = when
	}
	t.dropOld()
	var rs []Ruling
	for _, it := range rec.Items {
		if it.Op == Claim {
			rs = append(rs, t.claim(rec.Holder, it))
			continue
		}
		t.settle(it)
	}
	return rs
}

// claim gives the key to the first attempt in offset order.
func (t *Table) claim(h Holder, it Item) Ruling {
	e, ok := t.entries[it.Key]
	if ok && e.dropped(t.now) {
		ok = false
	}
	if ok {
		e.last = t.now
	}
	if ok && e.Attempt == it.Attempt {
		return Ruling{it.Attempt, e.State == Held, *e}
	}
	if ok && (e.State != Free || e.Expired(t.now)) {
		return Ruling{it.Attempt, false, *e}
	}
	fresh := &Entry{State: Held, Holder: h, Attempt: it.Attempt, Request: it.Request, Digest: it.Digest, At: t.now, Age: it.Age, last: t.now}
	if ok {
		fresh.At = e.At
		fresh.Age = max(e.Age, it.Age)
	}
	t.entries[it.Key] = fresh
	t.order = append(t.order, slot{it.Key, fresh, t.now})
	return Ruling{it.Attempt, true, *fresh}
}

// settle ends the attempt that holds a key. Only the holding attempt counts.
func (t *Table) settle(it Item) {
	if e, ok := t.entries[it.Key]; ok && e.Attempt == it.Attempt {
		e.Settle(it)
	}
}

// Settle applies the end of the attempt that holds the key.
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

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// dropOld frees the memory of keys that count as never claimed.
func (t *Table) dropOld() {
	n := 0
	for n < len(t.order) && t.now.Sub(t.order[n].at) > 2*t.order[n].entry.Age {
		s := t.order[n]
		n++
		switch {
		case t.entries[s.key] != s.entry:
		case s.entry.dropped(t.now):
			delete(t.entries, s.key)
		default:
			t.order = append(t.order, slot{s.key, s.entry, s.entry.last})
		}
	}
	t.order = t.order[n:]
}
