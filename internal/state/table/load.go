package table

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Load is an endpoint's own report of its work.
type Load struct {
	// At is when this node received the report.
	At time.Time
	// Running and Waiting count sequences.
	Running, Waiting int
	// ShortQueue and LongQueue are prompt tokens not yet prefilled.
	ShortQueue, LongQueue ident.Tokens
	// Held is the KV memory in use, Memory its size.
	Held, Memory ident.Tokens
	// PrefillRate is in tokens a second.
	PrefillRate ident.Tokens
	// Step is the time of the last batch iteration.
	Step time.Duration
	// Models are loaded; nil if the report doesn't tell.
	Models []ident.ModelName
	// Leaving tells that the endpoint takes no new work.
	Leaving bool
}

// State tells whether an endpoint gets new work.
type State int32

// States of an endpoint.
const (
	// Up endpoints get work.
	Up State = iota
	// Leaving endpoints finish what they have.
	Leaving
	// Down endpoints don't answer.
	Down
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"up", "leaving", "down"}[s]
}
