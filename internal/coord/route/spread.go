package route

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// transferRate is the speed of moving KV between engines in tokens a second,
// for estimates.
const transferRate ident.Tokens = 1_000_000

// Part is the piece of a prompt that one engine holds.
type Part struct {
	Index  int
	Tokens ident.Tokens
}

// Plan spreads a prompt over several engines.
type Plan struct {
	// Parts are in the global order in which memory is reserved: by name.
	Parts []Part
	Choice
}

// maxParts bounds the engines that one prompt is spread over.
const maxParts = 12

// Spread plans a prompt that is larger than each engine over as many engines
// as give the first token soonest. With now set, only memory that is free now
// counts.
func Spread(cs []Candidate, r Request, now bool) (Plan, error) {
	var best Plan
	var least time.Duration
	for k := 2; k <= min(maxParts, len(cs)); k++ {
		part := Request{Prompt: (r.need() + ident.Tokens(k) - 1) / ident.Tokens(k), ReservedPercent: r.ReservedPercent}
		fit := cheapest(cs, r, part, now)
		if len(fit) < k {
			continue
		}
		p := planOf(cs, fit[:k], part.Prompt, r)
		total := p.First
		for _, i := range fit[:k] {
			total += opening(cs[i], part)
		}
		if len(best.Parts) == 0 || total < least {
			best, least = p, total
		}
	}
	if len(best.Parts) == 0 {
		return Plan{}, ErrNoEndpoint
	}
	return best, nil
}

// cheapest lists the candidates that have room for a part, by its cost.
func cheapest(cs []Candidate, r, part Request, now bool) []int {
	var fit []int
	for i, c := range cs {
		room := c.usable(r)
		if now {
			room = c.View.FreeMemory - c.reserve(r)
		}
		if !c.Out && room >= part.Prompt && (!r.Suspect || c.Suspects == 0) {
			fit = append(fit, i)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int { return cmp.Compare(cost(cs[a], part), cost(cs[b], part)) })
	return fit
}

func planOf(cs []Candidate, chosen []int, part ident.Tokens, r Request) Plan {
	slices.SortFunc(chosen, func(a, b int) int { return cmp.Compare(cs[a].Name, cs[b].Name) })
	p := Plan{Choice: Choice{Index: chosen[0]}}
	for _, i := range chosen {
		p.Parts = append(p.Parts, Part{i, part})
		p.First = max(p.First, First(cs[i], Request{Prompt: part}))
	}
	p.First += span(part*ident.Tokens(len(chosen)-1), transferRate)
	p.Whole = p.First + decode(cs[chosen[0]], r)
	return p
}

// WaitForMemory bounds how long a spread prompt waits for free memory.
func WaitForMemory(remaining time.Duration) time.Duration {
	return min(remaining/2, 15*time.Second)
}
