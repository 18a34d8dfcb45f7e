// Package feeds follows the configuration and the list of endpoints of a
// deployment, and knows how old that knowledge is.
package feeds

import (
	"context"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrTrimmed means that the records asked for are deleted.
const ErrTrimmed = errors.ConstError("records are deleted")

// Stream names a stream of keyed records.
type Stream int

// Streams of a source.
const (
	// Configuration holds the operators' configuration.
	Configuration Stream = iota
	// Endpoints holds what the endpoints say of themselves.
	Endpoints
	// Members holds the addresses of the nodes.
	Members
)

// String names a stream for logs.
func (s Stream) String() string {
	return [...]string{"configuration", "endpoints", "members"}[s]
}

// Record is the newest value of a key.
type Record struct {
	Key string
	// Value is nil if the key was dropped.
	Value []byte
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Next is the offset after the newest record of the stream, or of the page
	// if more follow.
	Next ident.Offset
}

// Source is the store that holds the streams.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Page, error)
	// Read returns the records from an offset on. If there are none, it waits
	// for them. It returns ErrTrimmed if they are deleted.
	Read(ctx context.Context, s Stream, from ident.Offset, wait time.Duration) (Page, error)
	// Put writes a record of a key.
	Put(ctx context.Context, s Stream, r Record) error
}

// Decoder reads the records of a deployment.
type Decoder interface {
	// Catalog decodes a record of the configuration; nil if the record holds
	// something else.
	Catalog(r Record) (*topol.Catalog, error)
	// Endpoint decodes a record of an endpoint.
	Endpoint(r Record) (topol.Endpoint, error)
}
