package fold

import (
	"encoding/json"
	"time"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record is one record of the configuration stream; one of its fields is set.
type Record struct {
	Patch    *Patch    `json:",omitempty"`
	Snapshot *Snapshot `json:",omitempty"`
}

// Patch asks for a change of the configuration.
type Patch struct {
	ID ident.PatchID
	// Base is the version that the patch was written against.
	Base   ident.Version
	Author string
	At     time.Time
	// Merge is a JSON merge patch.
	Merge json.RawMessage
}

// Snapshot is a whole configuration at a place in the stream.
type Snapshot struct {
	Version ident.Version
	// Next is the offset of the first record that isn't covered.
	Next     ident.Offset
	Document json.RawMessage
	// Digest is the SHA-256 of Document in hexadecimal.
	Digest string
}

// Result tells what became of a patch.
type Result string

// Results of a patch.
const (
	// Accepted patches made a new version.
	Accepted Result = "accepted"
	// Stale patches were written against another version.
	Stale Result = "stale"
	// Refused patches would have made an invalid document.
	Refused Result = "refused"
)

// Verdict is the decision on one patch.
type Verdict struct {
	PatchID ident.PatchID
	Offset  ident.Offset
	Base    ident.Version
	// Version is the new version if accepted, otherwise the one in force.
	Version  ident.Version
	Author   string
	At       time.Time
	Result   Result
	Problems confg.Problems `json:",omitempty"`
}
