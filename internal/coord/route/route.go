// Package route chooses the endpoint of a request. Policies are pure: the
// candidates and a source of random numbers come in, a choice goes out.
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
	View table.LoadEstimate
	// Cached is the part of the prompt that the endpoint's prefix cache
	// probably holds.
	Cached ident.Tokens
	// Suspects counts requests in flight there that may have crashed an
	// endpoint.
	Suspects int64
	// Long tells that the endpoint is in the lane of long requests.
	Long bool
	// Out tells that the endpoint gets no new work.
	Out bool
}

// Request is what a policy knows of a request.
type Request struct {
	Prompt, Output ident.Tokens
	// Short requests go before long ones at the endpoint.
	Short bool
	// Suspect requests may have crashed an endpoint; they run apart from
	// each other.
	Suspect bool
	// ReservedPercent of the memory is kept free of long requests.
	ReservedPercent int
}

// Choice is a chosen candidate with its estimates.
type Choice struct {
	Index int
	// First is the estimated time to the first token.
	First time.Duration
	// Whole is the estimated time to the last token.
	Whole time.Duration
}

// Source gives the candidates one by one, so that a policy which samples few
// of many pays for those only.
type Source struct {
	N  int
	At func(i int) Candidate
}

// Of returns a source of the given candidates.
func Of(cs []Candidate) Source {
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

// need is the KV memory that a request takes.
func (r Request) need() ident.Tokens { return r.Prompt + r.Output }

// fits reports whether the candidate can ever take the request.
func (c Candidate) fits(r Request) bool {
	if c.Out || r.Suspect && c.Suspects > 0 {
		return false
	}
	return r.need() <= c.usable(r)
}

// usable is the memory that the request may count on in an idle endpoint.
func (c Candidate) usable(r Request) ident.Tokens {
	if r.Short {
		return c.View.Memory
	}
	return c.View.Memory - c.reserve(r)
}

func (c Candidate) reserve(r Request) ident.Tokens {
	return c.View.Memory * ident.Tokens(r.ReservedPercent) / 100
}

// Largest returns the largest request that one of the candidates can take.
func Largest(cs []Candidate, r Request) ident.Tokens {
	var most ident.Tokens
	for _, c := range cs {
		if !c.Out {
			most = max(most, c.usable(r))
		}
	}
	return most
}
