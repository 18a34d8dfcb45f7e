// Package load drives a mixed load against caller addresses and reports what
// came of it.
package load

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind tells the requests of a load apart.
type Kind string

// Kinds of requests.
const (
	Prompt  Kind = "prompt"
	Booking Kind = "booking"
	Status  Kind = "status"
)

// Length is a class of prompts.
type Length struct {
	Name   string
	Tokens ident.Tokens
	// PerMille is the class's share of the prompts.
	PerMille int
}

// Lengths is the mix of the example fleets: one prompt in fifty is longer
// than a hundred thousand tokens.
func Lengths() []Length {
	return []Length{
		{"1k", 1_000, 700},
		{"8k", 8_000, 200},
		{"32k", 32_000, 80},
		{"128k", 128_000, 17},
		{"1M", 1_000_000, 3},
	}
}

// Short returns the lengths up to a bound, with their shares.
func Short(ls []Length, most ident.Tokens) []Length {
	var out []Length
	for _, l := range ls {
		if l.Tokens <= most {
			out = append(out, l)
		}
	}
	return out
}

// Key is a workspace's key with its share of the load.
type Key struct {
	Workspace ident.WorkspaceName
	Key       string
	Share     int
}

// Plan describes a load. Rates are requests a second.
type Plan struct {
	Keys        []Key
	Host        string
	Model       ident.ModelName
	PromptRate  float64
	BookingRate float64
	StatusRate  float64
	Lengths     []Length
	// Begin lists prompts that are sent at the start, beside the others.
	Begin []Length
	// Output is the number of tokens to generate for each prompt.
	Output ident.Tokens
	// SharedPercent of the prompts begin with one of a few documents.
	SharedPercent int
	// RepeatPercent of the bookings are sent twice at the same moment.
	RepeatPercent int
	// Limit bounds prompts; zero leaves the route's limit.
	Limit time.Duration
	For   time.Duration
	Seed  uint64
}

// perMille sums the shares of the lengths.
func (p Plan) perMille() int {
	n := 0
	for _, l := range p.Lengths {
		n += l.PerMille
	}
	return n
}

func (p Plan) pickLength(r *rand.Rand) Length {
	n := r.IntN(p.perMille())
	for _, l := range p.Lengths {
		if n < l.PerMille {
			return l
		}
		n -= l.PerMille
	}
	return p.Lengths[len(p.Lengths)-1]
}

func (p Plan) pickKey(r *rand.Rand) Key {
	sum := 0
	for _, k := range p.Keys {
		sum += k.Share
	}
	n := r.IntN(sum)
	for _, k := range p.Keys {
		if n < k.Share {
			return k
		}
		n -= k.Share
	}
	return p.Keys[len(p.Keys)-1]
}
