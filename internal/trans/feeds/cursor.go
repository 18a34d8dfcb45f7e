package feeds

import (
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// unknownOffset is the offset of a cursor that starts with the newest record of each
// key.
const unknownOffset ident.Offset = -1

// Position is a position in a stream. It is valid in one era of the source only.
type Position struct {
	// Era is zero if the position is not known.
	Era  uint64
	Next ident.Offset
}

// cursor follows a stream.
type cursor struct {
	next ident.Offset
	// era is the era of the source at the last page; zero if it is not known.
	era uint64
	// resumed is set until the first page after a position that this node did not
	// read itself.
	resumed bool
	// goal is an end of the stream that an earlier page showed and that hasn't been reached
	// yet. The read of that page began at goalAt, which is zero if there is no such page.
	goal   ident.Offset
	goalAt clock.Instant
}

// pageKind says what to do with a page of records.
type pageKind int

const (
	// further pages follow the last one.
	further pageKind = iota
	// newest pages hold the newest record of each key.
	newest
	// outdated pages show an older state than the last one, and confirm nothing.
	outdated
	// readAgain means that records may be missing, so that the newest ones of all
	// keys must be read.
	readAgain
)

// isNewEra reports whether the source lost records between the last page and this
// one.
func (c *cursor) isNewEra(p Page) bool { return c.era != 0 && p.Era != 0 && p.Era != c.era }

// advance moves the cursor behind a page.
func (c *cursor) advance(p Page) pageKind {
	lost := c.isNewEra(p)
	c.resumed = false
	if p.Era != 0 {
		c.era = p.Era
	}
	switch {
	case c.next == unknownOffset:
		c.next = p.Next
		return newest
	case lost:
		c.next = unknownOffset
		return readAgain
	case p.Next < c.next:
		return outdated
	default:
		c.next = p.Next
		return further
	}
}

// confirm returns the time as of which the records up to the cursor are the whole stream; zero if
// that isn't known, since more records follow. at is when the read of the last page began, behind
// which the cursor has been moved. A stream that grows faster than it is read is confirmed as of
// an earlier page, once its end at that time is reached.
func (c *cursor) confirm(p Page, at clock.Instant) clock.Instant {
	if p.Next >= p.End {
		c.goalAt = 0
		return at
	}
	asOf := clock.Instant(0)
	if c.goalAt > 0 && p.Next >= c.goal {
		asOf, c.goalAt = c.goalAt, 0
	}
	if c.goalAt == 0 {
		c.goal, c.goalAt = p.End, at
	}
	return asOf
}
