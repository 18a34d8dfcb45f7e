// Package relay defines the messages of request forwarding: what callers state
// in the header of a request, what a node adds when it forwards the request,
// what the header of an answer states, and the updates that nodes send each
// other.
package relay

import (
	"time"

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
	// length of the answer.
	Prompt, MaxOutput ident.Tokens
	// ExpectedOutput is the caller's estimate of the length of the answer.
	ExpectedOutput ident.Tokens
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

// ResponseHeader holds the parsed header fields of an endpoint's answer.
type ResponseHeader struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed is true if the answer carries the signature of an endpoint that
	// ran the request.
	Signed bool
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// FaultAddress is the address of the endpoint at fault, if that isn't the
	// one that answered.
	FaultAddress string
}

// Report is the load that an engine reports on request.
type Report struct {
	// Running and Waiting count the engine's requests from all callers.
	Running, Waiting int
	// Used is the KV memory occupied by running requests.
	Used ident.Tokens
}

// Reservation is KV memory reserved at an engine.
type Reservation struct {
	ID     string
	Tokens ident.Tokens
	// TTL is how long the reservation lasts if it isn't renewed.
	TTL time.Duration
	// Wait lets the engine collect the memory as running requests end.
	Wait bool
}
