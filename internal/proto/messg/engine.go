// Package messg holds the typed messages and the narrow interfaces between
// the parts of the system and what lies outside.
package messg

import (
	"context"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of a back end.
const (
	// ErrLeaving means that the endpoint refused work because it leaves.
	ErrLeaving = errors.ConstError("endpoint is leaving")
	// ErrRefused means that the endpoint refused work before running it.
	ErrRefused = errors.ConstError("endpoint refused the request")
	// ErrNoMemory means that the endpoint lacks memory for a reservation.
	ErrNoMemory = errors.ConstError("endpoint lacks memory")
	// ErrOldNumber means that an order carried an old fencing number.
	ErrOldNumber = errors.ConstError("order carries an old fencing number")
	// ErrStatus means that an endpoint answered with an error status.
	ErrStatus = errors.ConstError("endpoint answered with an error")
	// ErrBadAnswer means that an answer breaks the protocol.
	ErrBadAnswer = errors.ConstError("bad answer")
)

// Generate asks an engine for an answer.
type Generate struct {
	Request ident.RequestID
	// Body is the caller's body as it came.
	Body     []byte
	Priority int
	// ResumeAt is the index of the first token wanted.
	ResumeAt ident.Tokens
	// MaxTokens bounds the answer's length.
	MaxTokens ident.Tokens
	// Reservation names the memory to run in, if it was reserved.
	Reservation string
}

// Token is one token of an answer.
type Token struct {
	Index ident.Tokens
	Text  string
	// Last tells that the answer is complete.
	Last bool
	// Cached is the part of the prompt that was cached, set with Last.
	Cached ident.Tokens
}

// Stream is an answer under way.
type Stream interface {
	// Next waits for the next token.
	Next() (Token, error)
	// Ready reports whether the next token can be read without waiting.
	Ready() bool
	// Cut ends a Next that waits; it is safe for concurrent use.
	Cut()
	// Close ends the stream. One that didn't reach its end loses its
	// connection.
	Close()
}

// Progress tells how far an engine is with a request.
type Progress struct {
	// Known tells that the engine has the request.
	Known bool
	// Produced is the index after the last token generated.
	Produced ident.Tokens
}

// CacheEvent tells that a block entered or left a prefix cache.
type CacheEvent struct {
	Seq     uint64
	Block   uint64
	Removed bool
}

// Order tells an engine to change what it serves.
type Order struct {
	// Number is the fencing number of the holder.
	Number     ident.Offset
	Load, Drop ident.ModelName
}

// Engine is a model engine. All calls end with their context. Fresh calls
// use a new connection.
type Engine interface {
	Generate(ctx context.Context, addr string, g Generate) (Stream, error)
	Progress(ctx context.Context, addr string, id ident.RequestID) (Progress, error)
	Cancel(ctx context.Context, addr string, id ident.RequestID) error
	Load(ctx context.Context, addr string, fresh bool) (table.Load, error)
	Events(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	Reserve(ctx context.Context, addr, owner string, n ident.Tokens) error
	Release(ctx context.Context, addr, owner string) error
	Prefill(ctx context.Context, addr, owner string, n ident.Tokens) error
	Export(ctx context.Context, addr, owner string, n ident.Tokens) error
	Import(ctx context.Context, addr, owner string, n ident.Tokens) error
	Order(ctx context.Context, addr string, o Order) error
}

// Record is one record of a stream of the log.
type Record struct {
	Offset ident.Offset
	// At is the log's time.
	At   time.Time
	Data []byte
}

// Page is a run of records.
type Page struct {
	// Oldest is the offset of the oldest record kept.
	Oldest ident.Offset
	// Next is the offset that the next record will get.
	Next    ident.Offset
	Records []Record
}

// StreamName names a stream of the log.
type StreamName string

// Streams of the log.
const (
	ConfigStream StreamName = "config"
	ClaimStream  StreamName = "claims"
	UsageStream  StreamName = "usage"
	HoldStream   StreamName = "holds"
	LeaseStream  StreamName = "leases"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. After an error the record may still have been
	// added.
	Append(ctx context.Context, s StreamName, data []byte) (ident.Offset, error)
	// Read returns records from an offset on, or from the oldest kept. It
	// waits up to wait for the first one.
	Read(ctx context.Context, s StreamName, from ident.Offset, wait time.Duration) (Page, error)
}

// VM is an entry of the platform's list.
type VM struct {
	Name       string
	Address    string
	DataCentre ident.DataCentre
	// Role is Node or Endpoint.
	Role    string
	Leaving bool
}

// VMs is the platform's list of live and leaving VMs. It lags.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}
