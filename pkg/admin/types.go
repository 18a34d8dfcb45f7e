// Package admin is the administration interface of a node: its messages and a
// client.
package admin

import (
	"encoding/json"
	"time"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Types shared with the nodes.
type (
	// Verdict is the decision on a patch.
	Verdict = fold.Verdict
	// Event is an entry of the time line.
	Event = trace.Event
	// UsageRow is a sum of the bill.
	UsageRow = ledgr.Row
	// Member is a node.
	Member = membr.Entry
)

// Results of a patch.
const (
	Accepted = fold.Accepted
	Stale    = fold.Stale
	Refused  = fold.Refused
)

// Config is the configuration in force.
type Config struct {
	Version  ident.Version
	Document json.RawMessage
}

// PatchRequest submits a patch.
type PatchRequest struct {
	ID     ident.PatchID
	Base   ident.Version
	Author string
	Merge  json.RawMessage
}

// CheckRequest asks what is wrong with a patch.
type CheckRequest struct {
	Merge json.RawMessage
}

// CheckReply lists what is wrong with a patch.
type CheckReply struct {
	Problems confg.Problems
}

// Endpoint is what a node knows of an endpoint.
type Endpoint struct {
	Name       ident.EndpointName
	Address    string
	DataCentre ident.DataCentre
	Kind       confg.Kind
	State      string
	Calls      int64
	// Report is the age of the last load report; negative if none came.
	ReportAge   time.Duration
	Running     int
	Waiting     int
	QueueTokens ident.Tokens
	HeldTokens  ident.Tokens
	Models      []ident.ModelName `json:",omitempty"`
}

// Error is the body of an error answer.
type Error struct {
	Code         string
	Message      string
	Outcome      ident.Outcome   `json:",omitempty"`
	RequestID    ident.RequestID `json:",omitempty"`
	RetryAfterMs int64           `json:",omitempty"`
}
