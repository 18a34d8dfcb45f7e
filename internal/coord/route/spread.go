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

// Spread plans a prompt that is larger than each engine over the fewest
// engines. With now set, only memory that is free now counts.
func Spread(cs []Candidate, r Request, now bool) (Plan, error) {
	order := make([]int, 0, len(cs))
	for i, c := range cs {
		if !r.Suspect || c.Suspects == 0 {
			order = append(order, i)
		}
	}
	room := func(i int) ident.Tokens {
		c := cs[i]
		if now {
			return max(0, c.View.Free-c.reserve(r))
		}
		return c.usable(r)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(room(b), room(a)), cmp.Compare(First(cs[a], Request{}), First(cs[b], Request{})))
	})
	for k := 2; k <= len(order); k++ {
		part := (r.need() + ident.Tokens(k) - 1) / ident.Tokens(k)
		if room(order[k-1]) >= part {
			return planOf(cs, order[:k], part, r), nil
		}
	}
	return Plan{}, ErrNoEndpoint
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
	return min(remaining/4, 15*time.Second)
}
