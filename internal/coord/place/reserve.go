package place

import (
	"cmp"
	"slices"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// The KV cache of a prompt that is too large for any single engine is stored in
// pieces of at most an engine's memory divided by maxPieceDivisor.
const maxPieceDivisor = 3

// bestWithReservations returns a plan that stores the KV cache of a prompt on
// several engines outside the interactive pool, and reports whether there is
// one. The primary engine stores one piece; the other engines reserve memory
// for theirs before the request is sent.
func bestWithReservations(vs []*engineView, s ServiceState, r Request) (plan, bool) {
	n := pieces(s.Engine, r.Prompt)
	if n < 2 || n > maxHelpers+1 {
		return plan{}, false
	}
	piece := (r.Prompt + ident.Tokens(n) - 1) / ident.Tokens(n)
	p := split(r.Prompt, min(len(vs), maxHelpers+1))
	candidates := slices.DeleteFunc(slices.Clone(vs), func(v *engineView) bool {
		return v.avoid || v.suspect || v.interactive || r.Full.Has(v.endpoint.Name) || !v.fits(piece+r.Output) || !v.mayHelp()
	})
	jitter := r.value * lateLoss(helperJitter, r)
	for _, v := range candidates {
		v.costAsHelper = partCost(v, p, r) + jitter*s.Random()
	}
	slices.SortFunc(candidates, func(a, b *engineView) int { return cmp.Compare(a.costAsHelper, b.costAsHelper) })
	i := slices.IndexFunc(candidates, func(v *engineView) bool { return v.takesRequest() })
	if i < 0 || len(candidates) < n {
		return plan{}, false
	}
	primary := candidates[i]
	reserving := slices.Delete(candidates, i, i+1)[:n-1]
	best := plan{primary: primary, helpers: reserving}
	for range n - 1 {
		best.reservations = append(best.reservations, piece)
	}
	return withExtraHelpers(best, vs, s, r), true
}

// pieces returns the number of engines that store a prompt which is too large for
// one.
func pieces(e *topol.Engine, prompt ident.Tokens) int {
	maxPiece := max(1, e.Memory/maxPieceDivisor)
	return int((prompt-1)/maxPiece) + 1
}

// isTooLarge reports whether a prompt is too large for this number of engines, even
// if all of them are idle. The interactive pool has at least poolSpare of them.
func isTooLarge(e *topol.Engine, engines int, r Request) bool {
	outsidePool := engines - min(poolSpare, maxPoolSize(engines))
	fitsOne := r.Prompt+r.Output <= usableMemory(e)
	return !fitsOne && pieces(e, r.Prompt) > min(maxHelpers+1, outsidePool)
}

// withExtraHelpers adds helpers that prefill a part but reserve no memory, in
// the number with the lowest cost.
func withExtraHelpers(base plan, vs []*engineView, s ServiceState, r Request) plan {
	others := slices.DeleteFunc(slices.Clone(vs), func(v *engineView) bool { return slices.Contains(base.helpers, v) })
	extra := firstExcept(base.primary, rankHelpers(others, s, r), maxHelpers)
	best := base
	for n := 0; n <= min(len(extra), maxHelpers-len(base.helpers)); n++ {
		p := newPlan(base.primary, slices.Concat(base.helpers, extra[:n]), r)
		p.reservations = base.reservations
		p.cost += float64(n) * helperCost
		if n == 0 || p.cost < best.cost {
			best = p
		}
	}
	return best
}
