package feeds

import "laburnumstack.org/laburnum/pkg/ident"

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
