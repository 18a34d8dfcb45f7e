// Package messg defines the messages exchanged with engines, the log, the VM
// list and other nodes, and the interfaces of engines, the log and the VM list.
package messg

import (
	"context"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of calls to endpoints.
const (
	// ErrLeaving means that the endpoint refused a request because it is
	// leaving.
	ErrLeaving = errors.ConstError("endpoint is leaving")
	// ErrRefused means that the endpoint refused a request before running it.
	ErrRefused = errors.ConstError("endpoint refused the request")
	// ErrNoMemory means that there is too little free memory for a reservation.
	ErrNoMemory = errors.ConstError("endpoint lacks memory")
	// ErrOldFencingNumber means that an order carried a fencing number lower
	// than that of an earlier order.
	ErrOldFencingNumber = errors.ConstError("order carries an old fencing number")
	// ErrStatus means that an endpoint answered with an error status.
	ErrStatus = errors.ConstError("endpoint answered with an error")
	// ErrBadAnswer means that an answer violates the protocol.
	ErrBadAnswer = errors.ConstError("bad answer")
)

// GenerateRequest asks an engine to generate the answer to a prompt.
type GenerateRequest struct {
	Request ident.RequestID
	// Body is the body of the caller's request, unchanged.
	Body []byte
	// Priority ranks requests at an engine; those with the lower number are
	// served first.
	Priority int
	// ResumeAt is the index of the first token to send; it is above zero if an
	// answer is resumed.
	ResumeAt ident.Tokens
	// MaxTokens bounds the answer's length.
	MaxTokens ident.Tokens
	// ReservationID identifies the memory reserved for the request; empty if none
	// was reserved.
	ReservationID string
}

// Token is one token of an answer.
type Token struct {
	Index ident.Tokens
	Text  string
	// Last is set on the final token of an answer.
	Last bool
	// Cached is the number of prompt tokens found in the prefix cache. It is set
	// on the last token.
	Cached ident.Tokens
}

// TokenStream reads the tokens of an answer while an engine generates it.
type TokenStream interface {
	// Next returns the next token, waiting for it if necessary. It must not be
	// called after the last token.
	Next() (Token, error)
	// Ready reports whether the next token can be read without waiting.
	Ready() bool
	// Interrupt makes a blocked Next return an error. It is safe for
	// concurrent use.
	Interrupt()
	// Close ends the stream. If the last token was not read, it also closes
	// the connection.
	Close()
}

// Progress reports how far an engine has got with a request.
type Progress struct {
	// Known is true if the engine has the request.
	Known bool
	// Produced is the number of tokens of the answer generated so far,
	// including those before GenerateRequest.ResumeAt.
	Produced ident.Tokens
}

// CacheEvent reports that a block was added to or removed from a prefix cache.
type CacheEvent struct {
	// Seq numbers the events of an engine, from 1.
	Seq uint64
	// Block is the digest of the prefix that ends with the block.
	Block   uint64
	Removed bool
}

// Order instructs an engine to load a model, to drop one, or both.
type Order struct {
	// Number is the fencing number of the lease under which the order is sent.
	Number ident.Offset
	// Load names the model to load, Drop the one to drop; each may be empty.
	Load, Drop ident.ModelName
}

// Engine is the interface to model engines; addr is the address of the engine to
// call. All calls return when their context ends. An owner is the ID of a
// reservation, the same at all engines that hold a part of it.
type Engine interface {
	// Generate makes an engine generate an answer, or the rest of it, and
	// returns the stream of its tokens.
	Generate(ctx context.Context, addr string, g GenerateRequest) (TokenStream, error)
	// Progress returns how far an engine has got with a request.
	Progress(ctx context.Context, addr string, id ident.RequestID) (Progress, error)
	// Cancel stops a request at an engine and frees its memory there.
	Cancel(ctx context.Context, addr string, id ident.RequestID) error
	// Load returns an engine's load report. If fresh is set, the call uses a new
	// connection.
	Load(ctx context.Context, addr string, fresh bool) (table.Load, error)
	// Events returns the events of an engine's prefix cache after a sequence
	// number.
	Events(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	// Reserve reserves KV memory for n tokens under an owner.
	Reserve(ctx context.Context, addr, owner string, n ident.Tokens) error
	// Release frees the memory reserved under an owner.
	Release(ctx context.Context, addr, owner string) error
	// Prefill makes an engine compute the KV cache of a prompt part of n tokens
	// in the memory reserved under an owner.
	Prefill(ctx context.Context, addr, owner string, n ident.Tokens) error
	// Export makes the KV cache of a prefilled part of n tokens available to
	// other engines.
	Export(ctx context.Context, addr, owner string, n ident.Tokens) error
	// Import makes an engine fetch the KV cache of an exported part of n tokens.
	Import(ctx context.Context, addr, owner string, n ident.Tokens) error
	// Order instructs an engine to load or drop a model. It returns
	// ErrOldFencingNumber if the engine checks orders and has seen a higher
	// number.
	Order(ctx context.Context, addr string, o Order) error
}

// Record is one record of a stream of the log.
type Record struct {
	Offset ident.Offset
	// At is the time at which the log stored the record, on the log's clock.
	At   time.Time
	Data []byte
}

// Page is a sequence of consecutive records of a stream.
type Page struct {
	// Oldest is the offset of the oldest record that the log still keeps.
	Oldest ident.Offset
	// Next is the offset that the next appended record will get.
	Next    ident.Offset
	Records []Record
}

// StreamName is the name of a stream of the log.
type StreamName string

// Streams of the log.
const (
	// ConfigStream holds the patches and snapshots of the configuration.
	ConfigStream StreamName = "config"
	// ClaimStream holds the claims of idempotency keys.
	ClaimStream StreamName = "claims"
	// UsageStream holds the usage of workspaces, for billing.
	UsageStream StreamName = "usage"
	// HoldStream holds the memory reservations that span several engines.
	HoldStream StreamName = "holds"
	// LeaseStream holds the requests for the lease under which orders are sent
	// to engines, with its renewals and its end.
	LeaseStream StreamName = "leases"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. If it returns an error, the
	// record may nevertheless have been added.
	Append(ctx context.Context, s StreamName, data []byte) (ident.Offset, error)
	// Read returns the records from the given offset on, or from the oldest
	// kept record if that is later. If there are none, it waits for the first
	// one for at most the given time.
	Read(ctx context.Context, s StreamName, from ident.Offset, wait time.Duration) (Page, error)
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string
	Address    string
	DataCentre ident.DataCentre
	// Role is "Node" or "Endpoint".
	Role    string
	Leaving bool
}

// VMs is the platform's list of running and leaving VMs. The list lags behind
// the actual state.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}
