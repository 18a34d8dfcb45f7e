// Package relay defines what nodes exchange with callers, engines and each other
// when they forward requests: parsed header fields, load reports, memory
// reservations, and the messages between nodes.
package relay

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// RequestHeader holds the parsed header fields of a caller's request.
type RequestHeader struct {
	ID string
	// Key is the caller's API key; empty if the request has none.
	Key string
	// TimeLeft is how long the caller still waits for the answer; zero if the
	// request doesn't state it.
	TimeLeft time.Duration
	// Prompt is the length of the prompt in tokens, MaxOutput the limit on the
	// length of the answer; each is zero if the request doesn't state it.
	Prompt, MaxOutput ident.Tokens
	// ExpectedOutput is the caller's estimate of the length of the answer; zero
	// if the request doesn't state it.
	ExpectedOutput ident.Tokens
	// SharedParts are the parts of the prompt that other prompts may share, in the
	// order of the prompt.
	SharedParts []ident.PartID
	// LastEvent is the ID of the event after which a stream is to resume.
	LastEvent string
}

// Helper is an engine that prefills a part of a prompt for another engine.
type Helper struct {
	Endpoint ident.EndpointName
	Address  string
	// ReservationID identifies the memory reserved at the helper. If it is
	// empty, the helper contributes only compute.
	ReservationID string
}

// ForwardHeader holds the header fields that a node adds to a request when it
// forwards the request to an endpoint.
type ForwardHeader struct {
	Endpoint  ident.EndpointName
	Workspace ident.WorkspaceName
	TimeLeft  time.Duration
	Helpers   []Helper
	// Urgency ranks requests at an engine; zero is the most urgent. It is sent
	// only if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// LastEvent is the ID of the event after which the stream resumes; it is
	// set only if a stream is resumed at another endpoint.
	LastEvent string
}

// ResponseHeader holds the parsed header fields of an endpoint's response.
type ResponseHeader struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed is true if the response has the signature field, which an endpoint
	// sets if it has run the request. The value of the field is not verified.
	Signed bool
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// FaultAddress is the address of the endpoint at fault, if that isn't the
	// one that responded.
	FaultAddress string
	// Leaving is true if the endpoint states that it is leaving.
	Leaving bool
	// Rest is the time for which the endpoint states that it wants no requests; zero if
	// it states none.
	Rest time.Duration
	// Limit is the number of requests per second that the endpoint accepts from
	// all nodes together. It is valid only if HasLimit is set.
	Limit    float64
	HasLimit bool
	// Cold is the time for which the endpoint states that it remains cold. It is valid only
	// if StatesCold is set.
	Cold       time.Duration
	StatesCold bool
}

// LoadReport is the load that an engine reports when a node asks for it.
type LoadReport struct {
	// Running and Waiting count the engine's requests from all callers.
	Running, Waiting int
	// Used is the KV memory occupied by running requests.
	Used ident.Tokens
}

// MaxTokens bounds the numbers of tokens that callers and engines state, so that sums of them
// don't overflow.
const MaxTokens ident.Tokens = 1e9

// IsValid reports whether the numbers of a report are within the bounds of an engine.
func (r LoadReport) IsValid() bool {
	isCount := func(n int) bool { return n >= 0 && n <= topol.MaxSlots }
	return isCount(r.Running) && isCount(r.Waiting) && r.Used >= 0 && r.Used <= MaxTokens
}

// Reservation is KV memory reserved at an engine.
type Reservation struct {
	ID     string
	Tokens ident.Tokens
	// TTL is how long the reservation lasts if it isn't renewed.
	TTL time.Duration
	// Wait asks the engine to wait until running requests have freed enough
	// memory, instead of refusing at once. It is neither set nor sent so far.
	Wait bool
}
