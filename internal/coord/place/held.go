package place

import (
	"cmp"
	"slices"

	"laburnumstack.org/laburnum/pkg/ident"
)

// pieceParts divides an engine's memory: a prompt that no engine can hold
// alone is held in pieces of at most such a part.
const pieceParts = 3

// bestHeld places a prompt whose memory is spread over several engines. The
// first one keeps a piece, the others reserve theirs before the request is
// sent.
func bestHeld(vs []*view, s Scene, r Request) (plan, bool) {
	most := vs[0].spec.Memory / pieceParts
	n := int((r.Prompt + most - 1) / most)
	if n < 2 || n > maxHelpers+1 {
		return plan{}, false
	}
	piece := (r.Prompt + ident.Tokens(n) - 1) / ident.Tokens(n)
	p := split(r.Prompt, min(len(vs), maxHelpers+1))
	roomy := slices.DeleteFunc(slices.Clone(vs), func(v *view) bool {
		return v.avoid || v.suspect || v.short || r.Full.Has(v.endpoint.Name) || !v.fits(piece+r.Output) || v.helping >= v.spec.Slots
	})
	spread := r.worth * lateRisk(helperSpread, r)
	for _, v := range roomy {
		v.cost = partCost(v, p, r) + spread*s.Random()
	}
	slices.SortFunc(roomy, func(a, b *view) int { return cmp.Compare(a.cost, b.cost) })
	i := slices.IndexFunc(roomy, func(v *view) bool { return v.requests < v.spec.Slots })
	if i < 0 || len(roomy) < n {
		return plan{}, false
	}
	first := roomy[i]
	holders := slices.Delete(roomy, i, i+1)[:n-1]
	best := plan{first: first, helpers: holders}
	for range n - 1 {
		best.held = append(best.held, piece)
	}
	return withLenders(best, vs, s, r), true
}

// withLenders adds the engines that only lend their processor, as many as
// bring the first event soonest.
func withLenders(held plan, vs []*view, s Scene, r Request) plan {
	others := slices.DeleteFunc(slices.Clone(vs), func(v *view) bool { return slices.Contains(held.helpers, v) })
	lenders := except(held.first, helpers(others, s, r), maxHelpers)
	best := held
	for n := 0; n <= min(len(lenders), maxHelpers-len(held.helpers)); n++ {
		p := weigh(held.first, slices.Concat(held.helpers, lenders[:n]), r)
		p.held = held.held
		p.cost += float64(n) * helperCost
		if n == 0 || p.cost < best.cost {
			best = p
		}
	}
	return best
}
