package place

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Costs are in the unit of answerValue.
const (
	// memoryPercent is the percentage of an engine's KV memory that prompts and
	// answers may use.
	memoryPercent = 94
	// overTargetCost is the cost of each request at an engine beyond
	// targetRequests.
	overTargetCost = 0.04
	// idleEngineCost is the cost of decoding on an engine without requests.
	idleEngineCost = 0.04
	// outsidePoolCost is the cost of decoding an interactive request outside the
	// interactive pool.
	outsidePoolCost = 0.3
	// rankCost is the difference in cost between the first and the last engine in
	// the order of names. It makes interactive requests fill the engines from the
	// front and other requests from the back.
	rankCost = 0.023
	// planJitter is the upper bound on the random cost added to a plan.
	planJitter = 0.2
	// helperJitter is the delay whose loss bounds the random cost that is added
	// to each helper when helpers are ranked.
	helperJitter = 15 * time.Millisecond
	// minHelperTokens is the smallest part of a prompt that justifies another
	// helper.
	minHelperTokens = 1000
	// maxHelpers is the largest number of helpers for one prompt.
	maxHelpers = 16
	// helperCost is added to the cost of a plan for each helper, so that no
	// helper is used for a smaller gain.
	helperCost = 0.01
	// avoidCost is the cost of a primary engine that should be avoided.
	avoidCost = 100
	// A request is rejected as late unless its first event is expected within
	// firstEventPercent of the time left.
	firstEventPercent = 70
)

func choosePrompt(s ServiceState, r Request) (Choice, error) {
	r.value = answerValue(r.Prompt)
	vs := engineViews(s)
	if len(vs) > 0 && isTooLarge(s.Engine, len(vs), r) {
		return Choice{}, ErrTooLarge
	}
	vs = slices.DeleteFunc(vs, func(v *engineView) bool { return r.Tried.Has(v.endpoint.Name) })
	if len(vs) == 0 {
		return Choice{}, ErrNoEndpoint
	}
	c, err := chooseFrom(vs, s, r)
	if err != nil {
		c.Load.Backlog = meanBacklog(vs)
	}
	return c, err
}

// chooseFrom returns the best choice among the engines, or why there is none that
// the request should take now.
func chooseFrom(vs []*engineView, s ServiceState, r Request) (Choice, error) {
	best, ok := bestWithLocalMemory(vs, s, r)
	if !ok {
		best, ok = bestWithReservations(vs, s, r)
	}
	if !ok {
		return chooseFull(vs, s, r)
	}
	c := best.choice()
	if IsDeferrable(s.Engine, r) {
		best.setLoss(&c.Load, s.InFlight, r)
		if best.shouldDefer(c, r) {
			return c, ErrDeferred
		}
	}
	if r.TimeLeft > 0 && c.Estimate > r.TimeLeft*firstEventPercent/100 {
		return c, ErrLate
	}
	return c, nil
}

// bestWithLocalMemory returns the best plan that stores the KV cache of a prompt
// on the primary engine alone, and reports whether there is one.
func bestWithLocalMemory(vs []*engineView, s ServiceState, r Request) (plan, bool) {
	var best plan
	found := false
	hs := rankHelpers(vs, s, r)
	for _, primary := range vs {
		if !primary.takesRequest() || !primary.fits(r.Prompt+r.Output) {
			continue
		}
		if r.toleratesPauses() && primary.interactive {
			continue
		}
		p := bestPlanWith(vs, hs, primary, r)
		// Nodes that decide at the same time don't see each other's requests
		// yet; randomness keeps them from choosing the same engine.
		p.cost += planJitter * s.Random()
		if !found || p.cost < best.cost {
			best, found = p, true
		}
	}
	return best, found
}

// plan is one way to place a prompt.
type plan struct {
	primary *engineView
	helpers []*engineView
	// reservations[i] is the memory to reserve at helpers[i], as in Choice.
	reservations []ident.Tokens
	// prefillEnd is the time until the prompt is prefilled.
	prefillEnd time.Duration
	// lossOfOthers is the value that other requests lose. cost includes it; the
	// plan with the lowest cost is chosen.
	lossOfOthers, cost float64
}

func (p plan) choice() Choice {
	steps := time.Duration(p.primary.spec.DecodeSteps)
	c := Choice{Primary: p.primary.endpoint, Reservations: p.reservations, Estimate: p.prefillEnd + max(p.primary.decodeTime(), steps*p.primary.spec.StepTime)}
	for _, h := range p.helpers {
		c.Helpers = append(c.Helpers, h.endpoint)
	}
	return c
}

// newPlan returns the plan for a primary engine and its helpers. Its cost is the
// value that the request and others are expected to lose.
func newPlan(primary *engineView, helpers []*engineView, r Request) plan {
	p := split(r.Prompt, len(helpers)+1)
	result := plan{primary: primary, helpers: helpers, prefillEnd: primary.prefillEnd(p), lossOfOthers: primary.stallLoss(p)}
	for _, h := range helpers {
		result.prefillEnd = max(result.prefillEnd, h.prefillEnd(p))
		result.lossOfOthers += h.lossByHelping(p)
	}
	result.cost = result.lossOfOthers + r.value*lateLoss(result.prefillEnd, r)
	return result
}

// bestPlanWith returns the plan with the best number of helpers for a primary
// engine. Helpers are used in the given order.
func bestPlanWith(vs, hs []*engineView, primary *engineView, r Request) plan {
	hs = firstExcept(primary, hs, maxHelpersFor(r))
	best := newPlan(primary, nil, r)
	for n := 1; n <= len(hs); n++ {
		p := newPlan(primary, hs[:n], r)
		p.cost += float64(n) * helperCost
		if p.cost < best.cost {
			best = p
		}
	}
	best.cost += primaryCost(vs, primary, r)
	return best
}

// primaryCost returns the cost of an engine as the primary, without the loss by
// late prefill.
func primaryCost(vs []*engineView, primary *engineView, r Request) float64 {
	cost := rankCost * float64(primary.rank) / float64(len(vs))
	if r.toleratesPauses() {
		cost = rankCost - cost
	}
	if primary.requests == 0 {
		cost += idleEngineCost
	}
	if !primary.interactive && !r.toleratesPauses() {
		cost += outsidePoolCost
	}
	cost += float64(max(0, primary.requests-targetRequests(primary.spec))) * overTargetCost
	// Prefill queued at the engine also causes pauses in the request's own
	// stream.
	loss := pauseLoss(primary.backlog+primary.decodeTime(), r.Gap)
	if primary.avoid {
		cost += avoidCost
	}
	return cost + r.value*loss
}

// maxHelpersFor returns the largest number of helpers for a prompt.
func maxHelpersFor(r Request) int {
	return max(0, min(maxHelpers, int(r.Prompt/minHelperTokens)-1))
}

// firstExcept returns the first n engines of a list, leaving out one engine.
func firstExcept(excluded *engineView, hs []*engineView, n int) []*engineView {
	rest := make([]*engineView, 0, n)
	for _, h := range hs {
		if len(rest) == n {
			break
		}
		if h != excluded {
			rest = append(rest, h)
		}
	}
	return rest
}

// rankHelpers returns the engines that may help, the best first. Randomness
// reorders engines that are nearly as good as each other, since nodes that
// decide at the same time don't see each other's requests yet.
func rankHelpers(vs []*engineView, s ServiceState, r Request) []*engineView {
	limit := maxHelpersFor(r)
	if limit == 0 {
		return nil
	}
	p := split(r.Prompt, limit+1)
	jitter := r.value * lateLoss(helperJitter, r)
	hs := make([]*engineView, 0, len(vs))
	for _, v := range vs {
		if v.avoid || v.suspect || !v.mayHelp() {
			continue
		}
		if v.interactive && r.toleratesPauses() && v.prefillTime(p) > maxPoolPrefill {
			continue
		}
		v.costAsHelper = partCost(v, p, r) + jitter*s.Random()
		hs = append(hs, v)
	}
	slices.SortFunc(hs, func(a, b *engineView) int { return cmp.Compare(a.costAsHelper, b.costAsHelper) })
	return hs
}

// partCost returns the value lost by the request and by others if an engine
// prefills a part.
func partCost(v *engineView, p part, r Request) float64 {
	return r.value*lateLoss(v.prefillEnd(p), r) + v.lossByHelping(p)
}
