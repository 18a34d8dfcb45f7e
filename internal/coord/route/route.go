// Package route has the policies by which trans/serve chooses the engine of a
// prompt. Policies do no I/O: they take the candidates and a source of random
// numbers and return a choice. Package place makes the corresponding choice for
// trans/gate.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrNoEndpoint means that no candidate can take the request.
const ErrNoEndpoint = errors.ConstError("no endpoint can take the request")

// Candidate is an endpoint that serves the model.
type Candidate struct {
	Name ident.EndpointName
	// Load is the endpoint's estimated load.
	Load table.LoadEstimate
	// Cached is the number of prompt tokens that the endpoint's prefix cache
	// probably holds.
	Cached ident.Tokens
	// Suspects counts the suspect requests in flight at the endpoint, see
	// Request.Suspect.
	Suspects int64
	// InLongPool is true if the endpoint is in the pool for long requests.
	InLongPool bool
	// Unavailable is true if the endpoint gets no new requests.
	Unavailable bool
}

// Request describes a prompt to be placed.
type Request struct {
	// Prompt is the size of the prompt, Output the maximum size of its answer.
	Prompt, Output ident.Tokens
	// Short is set for a short prompt. Endpoints prefill short prompts before
	// long ones.
	Short bool
	// Suspect requests may have crashed an endpoint; each runs on an endpoint
	// without other suspect requests.
	Suspect bool
	// ReservedPercent is the percentage of an endpoint's memory that long
	// requests may not use.
	ReservedPercent int
}

// Choice is a chosen candidate with its estimates.
type Choice struct {
	// Index is the index of the candidate in its source.
	Index int
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
	// LastToken is the estimated time to the last token.
	LastToken time.Duration
}

// Source returns the candidates one by one, so that a policy which samples a few
// of many doesn't compute the others.
type Source struct {
	N  int
	At func(i int) Candidate
}

// SourceOf returns a source of the given candidates.
func SourceOf(cs []Candidate) Source {
	return Source{len(cs), func(i int) Candidate { return cs[i] }}
}

// All returns all candidates.
func (s Source) All() []Candidate {
	cs := make([]Candidate, s.N)
	for i := range cs {
		cs[i] = s.At(i)
	}
	return cs
}

// Policy chooses one of the candidates.
type Policy interface {
	Choose(s Source, r Request, rnd *rand.Rand) (Choice, error)
}

// requiredMemory returns the KV memory that the request needs.
func (r Request) requiredMemory() ident.Tokens { return r.Prompt + r.Output }

// fits reports whether the candidate can take the request, now or when memory is
// free.
func (c Candidate) fits(r Request) bool {
	if c.Unavailable || r.Suspect && c.Suspects > 0 {
		return false
	}
	return r.requiredMemory() <= c.usableMemory(r)
}

// usableMemory returns the memory that an idle endpoint has for the request.
func (c Candidate) usableMemory(r Request) ident.Tokens {
	if r.Short {
		return c.Load.Memory
	}
	return c.Load.Memory - c.reservedMemory(r)
}

func (c Candidate) reservedMemory(r Request) ident.Tokens {
	return c.Load.Memory * ident.Tokens(r.ReservedPercent) / 100
}

// LargestRequest returns the size of the largest request that one of the
// candidates can take.
func LargestRequest(cs []Candidate, r Request) ident.Tokens {
	var largest ident.Tokens
	for _, c := range cs {
		if !c.Unavailable {
			largest = max(largest, c.usableMemory(r))
		}
	}
	return largest
}
