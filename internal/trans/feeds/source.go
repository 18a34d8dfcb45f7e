// Package feeds keeps a copy of a deployment's configuration and list of
// endpoints up to date, and tracks when each was last confirmed to be the newest.
package feeds

import (
	"context"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrTrimmed means that the source no longer keeps the requested records.
const ErrTrimmed = errors.ConstError("records are no longer kept")

// Stream identifies a stream of keyed records.
type Stream int

// Streams of a source.
const (
	// Configuration holds the operators' configuration and the evacuations of data
	// centres.
	Configuration Stream = iota
	// Endpoints holds the records that the endpoints write about themselves.
	Endpoints
	// Members holds the addresses of the nodes.
	Members
)

// String returns the name of a stream for logs.
func (s Stream) String() string {
	return [...]string{"configuration", "endpoints", "members"}[s]
}

// Record is a key with its value.
type Record struct {
	Key string
	// Value is nil if the key was deleted.
	Value []byte
}

// Page is a sequence of records of a stream.
type Page struct {
	Records []Record
	// Next is the offset to read from next: that after the newest record of the
	// stream, or after the last one of the page if more follow.
	Next ident.Offset
	// End is the end of the stream when the page was read, which is after Next if more
	// records follow. Zero means that the source doesn't tell, and that none follow.
	End ident.Offset
	// Era counts how often the source lost records that it had acknowledged. Each
	// time, offsets go back and are given out again. Zero means that the source
	// doesn't tell.
	Era uint64
}

// Source is a client of the platform's store, which holds the streams.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Page, error)
	// Read returns the records from the given offset on. If there are none, it
	// waits for some for at most the given time. It returns ErrTrimmed if the
	// store no longer keeps the records at the offset.
	Read(ctx context.Context, s Stream, from ident.Offset, wait time.Duration) (Page, error)
	// Put writes a record and returns the era of the source, see Page.Era.
	Put(ctx context.Context, s Stream, r Record) (era uint64, err error)
}

// Decoder decodes the records of a deployment.
type Decoder interface {
	// Catalog decodes a record of the Configuration stream. It returns nil and
	// no error if the record is deleted or isn't the configuration.
	Catalog(r Record) (*topol.Catalog, error)
	// Evacuation returns the data centre whose evacuation a record of the Configuration
	// stream begins or, if it is deleted, ends. It returns false for another record.
	Evacuation(r Record) (ident.DataCentre, bool)
	// Endpoint decodes a record of the Endpoints stream.
	Endpoint(r Record) (topol.Endpoint, error)
}
