package fold

import (
	"encoding/json"
	"time"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Record is a record of the configuration stream. Exactly one field is set.
type Record struct {
	Patch    *Patch    `json:",omitempty"`
	Snapshot *Snapshot `json:",omitempty"`
}

// Patch is a request to change the configuration.
type Patch struct {
	ID ident.PatchID
	// Base is the version that the patch applies to.
	Base   ident.Version
	Author string
	// At is when the patch was submitted, by the clock of the node that received
	// it.
	At time.Time
	// Merge is the change as a JSON merge patch.
	Merge json.RawMessage
}

// Snapshot is the whole configuration at an offset of the stream.
type Snapshot struct {
	Version ident.Version
	// Next is the offset of the first record that the snapshot doesn't cover.
	Next     ident.Offset
	Document json.RawMessage
	// Digest is the SHA-256 of Document in hexadecimal.
	Digest string
}

// Result is the outcome of a patch.
type Result string

// Results of a patch.
const (
	// Accepted patches created a new version.
	Accepted Result = "accepted"
	// Stale patches apply to a version other than the one in force at their
	// offset.
	Stale Result = "stale"
	// Refused patches are invalid or would have resulted in an invalid document.
	Refused Result = "refused"
)

// Verdict is the decision on a patch.
type Verdict struct {
	PatchID ident.PatchID
	Offset  ident.Offset
	Base    ident.Version
	// Version is the new version if the patch was accepted, otherwise the
	// version in force.
	Version ident.Version
	Author  string
	// At is when the patch was submitted, see Patch.At.
	At       time.Time
	Result   Result
	Problems confg.Problems `json:",omitempty"`
}
