package place

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// memoryPercent of an engine's memory is given to prompts and answers.
	memoryPercent = 94
	// packedCost is the cost of each request at an engine that is packed.
	packedCost = 0.04
	// openCost is the cost of writing on an engine without requests.
	openCost = 0.04
	// outOfLaneCost is the cost of writing a short prompt outside of its lane.
	outOfLaneCost = 0.3
	// rankCost is the cost of the last engine in the order against the first,
	// so that short prompts fill the engines from the front and long ones from
	// the back.
	rankCost = 0.023
	// spreadCost is the most that chance adds to the cost of a plan.
	spreadCost = 0.2
	// helperSpread is the time by which chance may make a helper look worse.
	helperSpread = 15 * time.Millisecond
	// helperTokens is the least part that is worth another helper.
	helperTokens = 1000
	// maxHelpers is the most that an engine takes.
	maxHelpers = 16
	// helperCost is what each helper must gain.
	helperCost = 0.01
	// avoidCost keeps requests from engines that fail.
	avoidCost = 100
	// latePercent of the time left may go by before the first event.
	latePercent = 70
)

func choosePrompt(s Scene, r Request) (Choice, error) {
	r.worth = value(r.Prompt)
	vs := views(s)
	vs = slices.DeleteFunc(vs, func(v *view) bool { return r.Tried.Has(v.endpoint.Name) })
	if len(vs) == 0 {
		return Choice{}, ErrNone
	}
	if costly(vs, r) {
		return Choice{}, ErrCostly
	}
	best, ok := bestAlone(vs, s, r)
	if !ok {
		best, ok = bestHeld(vs, s, r)
	}
	if !ok && r.Prompt > s.Engine.Memory*ident.Tokens(len(vs))/2 {
		return Choice{}, ErrTooLarge
	}
	if !ok {
		return Choice{}, ErrFull
	}
	c := best.choice()
	if best.defers(c.Estimate, r) {
		return c, ErrDeferred
	}
	if r.Left > 0 && c.Estimate > r.Left*latePercent/100 {
		return c, ErrLate
	}
	return c, nil
}

// bestAlone places a prompt whose memory is at one engine.
func bestAlone(vs []*view, s Scene, r Request) (plan, bool) {
	var best plan
	found := false
	hs := helpers(vs, s, r)
	for _, first := range vs {
		if first.requests >= first.spec.Slots || !first.fits(r.Prompt+r.Output) {
			continue
		}
		if r.patient() && first.short {
			continue
		}
		p := planFor(vs, hs, first, r)
		// Nodes that decide at the same moment don't know of each other yet.
		p.cost += spreadCost * s.Random()
		if !found || p.cost < best.cost {
			best, found = p, true
		}
	}
	return best, found
}

// plan is one way to place a prompt.
type plan struct {
	first   *view
	helpers []*view
	// held is the memory reserved at the first helpers.
	held []ident.Tokens
	// end is the time until the prompt is read.
	end time.Duration
	// harm is the value that others lose, cost all that is to be least.
	harm, cost float64
}

func (p plan) choice() Choice {
	stride := time.Duration(p.first.spec.DecodeSteps)
	c := Choice{First: p.first.endpoint, Held: p.held, Estimate: p.end + max(p.first.writing(), stride*p.first.spec.StepTime)}
	for _, h := range p.helpers {
		c.Helpers = append(c.Helpers, h.endpoint)
	}
	return c
}

// weigh returns the plan with given engines. Its cost is what the prompt and
// others probably lose.
func weigh(first *view, helpers []*view, r Request) plan {
	p := split(r.Prompt, len(helpers)+1)
	w := plan{first: first, helpers: helpers, end: first.finish(p), harm: first.stall(p)}
	for _, h := range helpers {
		w.end = max(w.end, h.finish(p))
		w.harm += h.lendHarm(p)
	}
	w.cost = w.harm + r.worth*lateRisk(w.end, r)
	return w
}

// planFor finds the number of helpers that is best with a given engine as the
// first. The helpers are in the order in which they are taken.
func planFor(vs, hs []*view, first *view, r Request) plan {
	hs = except(first, hs, mostHelpers(r))
	best := weigh(first, nil, r)
	for n := 1; n <= len(hs); n++ {
		p := weigh(first, hs[:n], r)
		p.cost += float64(n) * helperCost
		if p.cost < best.cost {
			best = p
		}
	}
	best.cost += firstCost(vs, first, r)
	return best
}

// firstCost is what speaks against writing on an engine beside the time to
// read there.
func firstCost(vs []*view, v *view, r Request) float64 {
	cost := rankCost * float64(v.rank) / float64(len(vs))
	if r.patient() {
		cost = rankCost - cost
	}
	if v.requests == 0 {
		cost += openCost
	}
	if !v.short && !r.patient() {
		cost += outOfLaneCost
	}
	cost += float64(max(0, v.requests-packed(v.spec))) * packedCost
	// The caller's own pauses are at risk where much is read.
	risk := pauseRisk(v.backlog+v.writing(), r.Gap)
	if v.avoid {
		cost += avoidCost
	}
	return cost + r.worth*risk
}

// mostHelpers is the most engines that may help to read a prompt.
func mostHelpers(r Request) int {
	return max(0, min(maxHelpers, int(r.Prompt/helperTokens)-1))
}

// except returns the first engines of a list that are not a given one.
func except(first *view, hs []*view, most int) []*view {
	left := make([]*view, 0, most)
	for _, h := range hs {
		if len(left) == most {
			break
		}
		if h != first {
			left = append(left, h)
		}
	}
	return left
}

// helpers returns the engines that may help, the best first. Chance orders
// those that are nearly as good, since nodes that decide at the same moment
// don't know of each other yet.
func helpers(vs []*view, s Scene, r Request) []*view {
	most := mostHelpers(r)
	if most == 0 {
		return nil
	}
	p := split(r.Prompt, most+1)
	spread := r.worth * lateRisk(helperSpread, r)
	hs := make([]*view, 0, len(vs))
	for _, v := range vs {
		if v.avoid || v.suspect || v.helping >= v.spec.Slots {
			continue
		}
		if v.short && r.patient() && v.read(p) > lanePart {
			continue
		}
		v.cost = partCost(v, p, r) + spread*s.Random()
		hs = append(hs, v)
	}
	slices.SortFunc(hs, func(a, b *view) int { return cmp.Compare(a.cost, b.cost) })
	return hs
}

// partCost is the value that is lost if an engine reads a part.
func partCost(v *view, p part, r Request) float64 {
	return r.worth*lateRisk(v.finish(p), r) + v.lendHarm(p)
}
