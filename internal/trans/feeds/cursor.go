package feeds

import "laburnumstack.org/laburnum/pkg/ident"

// unknownOffset is the offset of a cursor that starts with the newest record of each
// key.
const unknownOffset ident.Offset = -1

// cursor is a position in a stream.
type cursor struct {
	next ident.Offset
	// era is the era of the source at the last page; zero before the first one.
	era uint64
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
