// Package ident names the ids and units that all layers share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// Names of the parts of a configuration.
type (
	// WorkspaceName identifies the owner of a caller's key.
	WorkspaceName string
	// RouteName identifies a route.
	RouteName string
	// EndpointName identifies a model engine or a plain service.
	EndpointName string
	// ServiceName identifies a group of endpoints that serve the same requests.
	ServiceName string
	// ModelName identifies a model served by engines.
	ModelName string
	// DataCentre identifies the place of a VM.
	DataCentre string
	// NodeName identifies one process of the serving layer.
	NodeName string
)

// RequestID identifies one admitted or refused request.
type RequestID string

// PatchID identifies one configuration patch.
type PatchID string

// AttemptID identifies one attempt at claiming an idempotency key.
type AttemptID string

// Version numbers accepted configurations; zero is the empty configuration.
type Version uint64

// Offset is the position of a record in a stream of the log.
type Offset int64

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Outcome tells a caller what became of a request.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that an endpoint answered.
	Answered Outcome = "answered"
	// NotRun means that no endpoint ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an endpoint may have run the request.
	Unknown Outcome = "unknown"
)

const idBytes = 12

// New returns a random id of 24 hexadecimal digits.
func New() string {
	var b [idBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
