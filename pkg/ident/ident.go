// Package ident defines the types of identifiers and units that all packages
// share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
)

// Names in a configuration or a deployment.
type (
	// WorkspaceName identifies the owner of a caller's key.
	WorkspaceName string
	// RouteName identifies a route.
	RouteName string
	// EndpointName identifies a model engine or a plain HTTP service.
	EndpointName string
	// ServiceName identifies a group of endpoints that serve the same requests.
	ServiceName string
	// ModelName identifies a model served by engines.
	ModelName string
	// DataCentre identifies a data centre.
	DataCentre string
	// Region identifies a region, which has one or more data centres.
	Region string
	// NodeName identifies one process of the serving layer.
	NodeName string
)

// RequestID identifies a request of a caller.
type RequestID string

// PartID identifies the content of a part of a prompt, which other prompts may share.
type PartID uint64

// String returns the ID in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }

// PatchID identifies a configuration patch.
type PatchID string

// AttemptID identifies an attempt to claim an idempotency key.
type AttemptID string

// Version is the number of an accepted configuration; zero is the empty
// configuration.
type Version uint64

// Offset is the position of a record in a stream of the log.
type Offset int64

// Tokens is a number of model tokens.
type Tokens int64

// Bytes is a number of bytes.
type Bytes int64

// Outcome tells the caller of a request whether the request was run.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that an endpoint ran the request and answered it.
	Answered Outcome = "answered"
	// NotRun means that no endpoint ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an endpoint may have run the request.
	Unknown Outcome = "unknown"
)

const idBytes = 12

// NewID returns a random ID of 24 hexadecimal digits.
func NewID() string {
	var b [idBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
