// Package relay holds the typed messages of forwarding: what a request asks
// for, what a node adds to it, and what an answer says beside its body.
package relay

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Ask is what the header of a request says about it.
type Ask struct {
	ID string
	// Key is the caller's key, empty if there is none.
	Key string
	// TimeLeft is how long the caller waits; zero if it doesn't say.
	TimeLeft time.Duration
	// Prompt and Output are the tokens of the prompt and the most tokens of
	// the answer.
	Prompt, Output ident.Tokens
	// Guess is the caller's estimate of the tokens of the answer.
	Guess ident.Tokens
	// LastEvent is the event after which a stream is to go on.
	LastEvent string
}

// Helper is an engine that reads a part of a prompt for another.
type Helper struct {
	Endpoint ident.EndpointName
	Address  string
	// Ticket names memory that was reserved there; without one the engine
	// only lends its processor.
	Ticket string
}

// Send is what a node adds to a request on its way to an endpoint.
type Send struct {
	Endpoint  ident.EndpointName
	Workspace ident.WorkspaceName
	TimeLeft  time.Duration
	Helpers   []Helper
	// Urgency orders requests at an engine; zero is the first. It is sent if
	// Urgent is set.
	Urgency int
	Urgent  bool
	// LastEvent is set if a stream goes on at another endpoint.
	LastEvent string
}

// Note is what the header of an answer says about it.
type Note struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed answers come from an endpoint that ran the request.
	Signed bool
	// NotRun tells that the endpoint has not run the request.
	NotRun bool
	// Fault is the address of the endpoint at fault, if another one is.
	Fault string
}

// Report is what an engine says of itself when it is asked.
type Report struct {
	// Running and Waiting count its requests, of all callers.
	Running, Waiting int
	// Used is the memory that running requests hold.
	Used ident.Tokens
}

// Reservation is KV memory that is set aside on an engine.
type Reservation struct {
	Ticket string
	Tokens ident.Tokens
	// Hold is how long the memory stays reserved without a renewal.
	Hold time.Duration
	// Wait asks the engine to collect the memory as requests end.
	Wait bool
}
