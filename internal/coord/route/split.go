package route

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// transferRate is the assumed speed of KV transfer between engines, in tokens
// per second.
const transferRate ident.Tokens = 1_000_000

// Part is the part of a split prompt that one engine prefills and stores.
type Part struct {
	// Index is the index of the engine in the list of candidates.
	Index int
	// Tokens is the size of the part. The parts also cover the prompt's answer.
	Tokens ident.Tokens
}

// Plan is a way to split a prompt between several engines.
type Plan struct {
	// Parts are sorted by the name of the endpoint, since all nodes reserve
	// memory in that order.
	Parts []Part
	Choice
}

// maxParts bounds the number of engines that one prompt is split between.
const maxParts = 12

// SplitPrompt returns a plan for a prompt that fits into no single engine. Of
// the possible numbers of engines, it chooses the one with the lowest cost. If
// freeNow is set, only memory that is free now counts.
func SplitPrompt(cs []Candidate, r Request, freeNow bool) (Plan, error) {
	var best Plan
	var lowest time.Duration
	for k := 2; k <= min(maxParts, len(cs)); k++ {
		part := Request{Prompt: (r.requiredMemory() + ident.Tokens(k) - 1) / ident.Tokens(k), ReservedPercent: r.ReservedPercent}
		fit := rankByCost(cs, r, part, freeNow)
		if len(fit) < k {
			continue
		}
		p := newPlan(cs, fit[:k], part.Prompt, r)
		total := p.FirstToken
		for _, i := range fit[:k] {
			total += outsideLongPoolCost(cs[i], part)
		}
		if len(best.Parts) == 0 || total < lowest {
			best, lowest = p, total
		}
	}
	if len(best.Parts) == 0 {
		return Plan{}, ErrNoEndpoint
	}
	return best, nil
}

// rankByCost returns the indexes of the candidates that can take a part of the
// request r, the cheapest first.
func rankByCost(cs []Candidate, r, part Request, freeNow bool) []int {
	var fit []int
	for i, c := range cs {
		available := c.usableMemory(r)
		if freeNow {
			available = c.Load.FreeMemory - c.reservedMemory(r)
		}
		if !c.Unavailable && available >= part.Prompt && (!r.Suspect || c.Suspects == 0) {
			fit = append(fit, i)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int { return cmp.Compare(cost(cs[a], part), cost(cs[b], part)) })
	return fit
}

func newPlan(cs []Candidate, chosen []int, part ident.Tokens, r Request) Plan {
	slices.SortFunc(chosen, func(a, b int) int { return cmp.Compare(cs[a].Name, cs[b].Name) })
	p := Plan{Choice: Choice{Index: chosen[0]}}
	for _, i := range chosen {
		p.Parts = append(p.Parts, Part{i, part})
		p.FirstToken = max(p.FirstToken, EstimateFirstToken(cs[i], Request{Prompt: part}))
	}
	p.FirstToken += durationAt(part*ident.Tokens(len(chosen)-1), transferRate)
	p.LastToken = p.FirstToken + decodeTime(cs[chosen[0]], r)
	return p
}

// MaxMemoryWait returns how long a split prompt may wait for free memory: half
// of the time left, but at most 15 s.
func MaxMemoryWait(timeLeft time.Duration) time.Duration {
	return min(timeLeft/2, 15*time.Second)
}
