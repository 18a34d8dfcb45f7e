// Package load sends a mixed load to the nodes' addresses for callers and
// reports latencies and outcomes.
package load

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Prompt  Kind = "prompt"
	Booking Kind = "booking"
	Status  Kind = "status"
)

// PromptClass is a class of prompts of the same length.
type PromptClass struct {
	Name   string
	Tokens ident.Tokens
	// PerMille is the share of the prompts that are in this class, in
	// thousandths. Only its ratio to the other classes of the mix matters.
	PerMille int
}

// DefaultMix returns the mix of prompt lengths of the example fleets. One
// prompt in fifty is longer than a hundred thousand tokens.
func DefaultMix() []PromptClass {
	return []PromptClass{
		{"1k", 1_000, 700},
		{"8k", 8_000, 200},
		{"32k", 32_000, 80},
		{"128k", 128_000, 17},
		{"1M", 1_000_000, 3},
	}
}

// ShortClasses returns the classes whose prompts have at most maxTokens tokens.
func ShortClasses(mix []PromptClass, maxTokens ident.Tokens) []PromptClass {
	var out []PromptClass
	for _, c := range mix {
		if c.Tokens <= maxTokens {
			out = append(out, c)
		}
	}
	return out
}

// Key is a workspace's API key with the workspace's share of the load. Only the
// ratio to the other shares matters.
type Key struct {
	Workspace ident.WorkspaceName
	Key       string
	Share     int
}

// Plan describes a load. Rates are in requests per second.
type Plan struct {
	Keys        []Key
	Host        string
	Model       ident.ModelName
	PromptRate  float64
	BookingRate float64
	StatusRate  float64
	Mix         []PromptClass
	// InitialPrompts are sent at the start, in addition to the prompts sent at
	// PromptRate.
	InitialPrompts []PromptClass
	// Output is the number of tokens to generate for each prompt.
	Output ident.Tokens
	// SharedPercent is the percentage of prompts whose first half comes from one
	// of a few documents that other prompts begin with too.
	SharedPercent int
	// RepeatPercent is the percentage of bookings that are sent twice at the
	// same time with the same idempotency key.
	RepeatPercent int
	// Limit is the time limit of prompts. With zero the route's limit applies.
	Limit    time.Duration
	Duration time.Duration
	Seed     uint64
}

// MeanTokens returns the mean prompt length of a mix in tokens.
func MeanTokens(mix []PromptClass) float64 {
	var tokens, shares float64
	for _, c := range mix {
		tokens += float64(c.Tokens) * float64(c.PerMille)
		shares += float64(c.PerMille)
	}
	return tokens / shares
}

// PickClass returns a random class of a mix, weighted by PerMille.
func PickClass(mix []PromptClass, r *rand.Rand) PromptClass {
	return pickWeighted(mix, r, func(c PromptClass) int { return c.PerMille })
}

func (p Plan) pickKey(r *rand.Rand) Key {
	return pickWeighted(p.Keys, r, func(k Key) int { return k.Share })
}

// pickWeighted returns a random value, weighted by its share.
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
