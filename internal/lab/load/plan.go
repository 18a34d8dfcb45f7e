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

// MeanTokens returns the mean length of the prompts of a mix.
func MeanTokens(ls []Length) float64 {
	var tokens, shares float64
	for _, l := range ls {
		tokens += float64(l.Tokens) * float64(l.PerMille)
		shares += float64(l.PerMille)
	}
	return tokens / shares
}

// Pick returns a random length of a mix by its share.
func Pick(ls []Length, r *rand.Rand) Length {
	return weighted(ls, r, func(l Length) int { return l.PerMille })
}

func (p Plan) pickKey(r *rand.Rand) Key {
	return weighted(p.Keys, r, func(k Key) int { return k.Share })
}

// weighted returns a random value by its share.
func weighted[T any](vs []T, r *rand.Rand, share func(T) int) T {
	sum := 0
	for _, v := range vs {
		sum += share(v)
	}
	n := r.IntN(sum)
	for _, v := range vs {
		if n < share(v) {
			return v
		}
		n -= share(v)
	}
	return vs[len(vs)-1]
}
