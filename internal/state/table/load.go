package table

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Load is an endpoint's report of its own load.
type Load struct {
	// At is when this node received the report.
	At time.Time
	// Running and Waiting are numbers of sequences.
	Running, Waiting int
	// ShortQueue and LongQueue are the tokens of short and long prompts that
	// are not yet prefilled.
	ShortQueue, LongQueue ident.Tokens
	// UsedMemory is the KV memory in use, Memory its total size.
	UsedMemory, Memory ident.Tokens
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate ident.Tokens
	// StepTime is the duration of the engine's last step, which generates a token
	// for each decoding sequence.
	StepTime time.Duration
	// Models lists the loaded models. It is nil if the report has no list.
	Models []ident.ModelName
	// Leaving is set if the endpoint takes no new requests.
	Leaving bool
}

// State says whether an endpoint gets new requests.
type State int32

// States of an endpoint.
const (
	// Up endpoints get new requests.
	Up State = iota
	// Leaving endpoints finish the requests that they have.
	Leaving
	// Down endpoints don't answer.
	Down
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"up", "leaving", "down"}[s]
}
