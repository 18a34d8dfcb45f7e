// Package admin defines the messages of the administration API of a node, and a
// client of the API.
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

// Types of messages that other packages define.
type (
	// Verdict is the decision on a patch.
	Verdict = fold.Verdict
	// Event is an entry of the timeline.
	Event = trace.Event
	// UsageRow is the usage of a workspace, route and model in one hour.
	UsageRow = ledgr.Row
	// Member is a node and its state.
	Member = membr.Entry
)

// Results of a patch.
const (
	// Accepted patches created a new version.
	Accepted = fold.Accepted
	// Stale patches apply to a version other than the one in force.
	Stale = fold.Stale
	// Refused patches would have resulted in an invalid document.
	Refused = fold.Refused
)

// Config is the configuration in force.
type Config struct {
	Version  ident.Version
	Document json.RawMessage
}

// PatchRequest submits a patch.
type PatchRequest struct {
	// ID identifies the patch in later requests for its verdict. The client
	// chooses it.
	ID ident.PatchID
	// Base is the version that the patch applies to.
	Base   ident.Version
	Author string
	// Merge is the change to the document, a JSON merge patch (RFC 7396).
	Merge json.RawMessage
}

// CheckRequest requests validation of a patch without submitting it.
type CheckRequest struct {
	Merge json.RawMessage
}

// CheckReply lists the problems of a patch.
type CheckReply struct {
	Problems confg.Problems
}

// Endpoint is the state of an endpoint as one node sees it.
type Endpoint struct {
	Name       ident.EndpointName
	Address    string
	DataCentre ident.DataCentre
	Kind       confg.Kind
	// State is up, leaving or down.
	State string
	// Calls is the number of requests that the node has in flight at the
	// endpoint.
	Calls int64
	// ReportAge is the age of the last load report; negative if there was none.
	// The fields after it are from that report.
	ReportAge time.Duration
	Running   int
	Waiting   int
	// QueueTokens is the number of prompt tokens that are not prefilled yet.
	QueueTokens ident.Tokens
	// HeldTokens is the KV memory in use.
	HeldTokens ident.Tokens
	Models     []ident.ModelName `json:",omitempty"`
}

// Error is the body of an error response.
type Error struct {
	Code         string
	Message      string
	Outcome      ident.Outcome   `json:",omitempty"`
	RequestID    ident.RequestID `json:",omitempty"`
	RetryAfterMs int64           `json:",omitempty"`
}
