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

// PromptClass is a class of prompts.
type PromptClass struct {
	Name   string
	Tokens ident.Tokens
	// PerMille is the class's share of the prompts.
	PerMille int
}

// DefaultMix is the mix of the example fleets: one prompt in fifty is longer
// than a hundred thousand tokens.
func DefaultMix() []PromptClass {
	return []PromptClass{
		{"1k", 1_000, 700},
		{"8k", 8_000, 200},
		{"32k", 32_000, 80},
		{"128k", 128_000, 17},
		{"1M", 1_000_000, 3},
	}
}

// ShortClasses returns the lengths up to a bound, with their shares.
func ShortClasses(ls []PromptClass, maxTokens ident.Tokens) []PromptClass {
	var out []PromptClass
	for _, l := range ls {
		if l.Tokens <= maxTokens {
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
	Mix     []PromptClass
	// InitialPrompts lists prompts that are sent at the start, beside the others.
	InitialPrompts []PromptClass
	// Output is the number of tokens to generate for each prompt.
	Output ident.Tokens
	// SharedPercent of the prompts begin with one of a few documents.
	SharedPercent int
	// RepeatPercent of the bookings are sent twice at the same moment.
	RepeatPercent int
	// Limit bounds prompts; zero leaves the route's limit.
	Limit time.Duration
	Duration   time.Duration
	Seed  uint64
}

// MeanTokens returns the mean length of the prompts of a mix.
func MeanTokens(ls []PromptClass) float64 {
	var tokens, shares float64
	for _, l := range ls {
		tokens += float64(l.Tokens) * float64(l.PerMille)
		shares += float64(l.PerMille)
	}
	return tokens / shares
}

// PickClass returns a random length of a mix by its share.
func PickClass(ls []PromptClass, r *rand.Rand) PromptClass {
	return pickWeighted(ls, r, func(l PromptClass) int { return l.PerMille })
}

func (p Plan) pickKey(r *rand.Rand) Key {
	return pickWeighted(p.Keys, r, func(k Key) int { return k.Share })
}

// pickWeighted returns a random value by its share.
func pickWeighted[T any](vs []T, r *rand.Rand, share func(T) int) T {
	total := 0
	for _, v := range vs {
		total += share(v)
	}
	n := r.IntN(total)
	for _, v := range vs {
		if n < share(v) {
			return v
		}
		n -= share(v)
	}
	return vs[len(vs)-1]
}
