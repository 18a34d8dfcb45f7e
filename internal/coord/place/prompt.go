package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memoryPercent of an engine's memory is given to prompts and answers.
	memoryPercent = 94
	// gapPercent of the pause that callers accept is planned for.
	gapPercent = 75
	// packedRequests is the number of requests at an engine beyond which
	// another engine is opened for writing.
	packedRequests = 11
	// packedCost is the cost of each request beyond it.
	packedCost = 40 * time.Millisecond
	// openCost is the cost of writing on an engine without requests.
	openCost = 40 * time.Millisecond
	// rankCost is the cost of each engine in front of one, so that short
	// prompts fill the engines from the front and long ones from the back.
	rankCost = time.Millisecond
	// helperTokens is the least part that is worth another helper.
	helperTokens = 1000
	// maxHelpers is the most that an engine takes.
	maxHelpers = 16
	// helperCost is what each helper must gain.
	helperCost = time.Millisecond
	// avoidCost keeps requests from engines that fail.
	avoidCost = 10 * time.Second
	// latePercent of the time left may go by before the first event.
	latePercent = 70
	// valueTokens is the prompt that weighs one, valuePower the growth of the
	// weight with the size.
	valueTokens = 4000
	valuePower  = 0.8
	// latenessMost is the delay beyond which a writer can't become later.
	latenessMost = 300 * time.Millisecond
	// earlyWeight is the weight of the time before the target nears, and
	// targetPercent is the part of the target that is near it.
	earlyWeight   = 0.1
	targetPercent = 50
	// longGap is the accepted pause from which a request counts as long.
	longGap = 800 * time.Millisecond
)

func choosePrompt(s Scene, r Request) (Choice, error) {
	vs := views(s)
	vs = slices.DeleteFunc(vs, func(v *view) bool { return r.Tried.Has(v.endpoint.Name) })
	if len(vs) == 0 {
		return Choice{}, ErrNone
	}
	if r.Prompt+r.Output > s.Engine.Memory*memoryPercent/100 {
		return Choice{}, ErrTooLarge
	}
	best := plan{cost: -1}
	for _, first := range vs {
		if first.requests >= first.spec.Slots || !first.fits(r.Prompt+r.Output) {
			continue
		}
		p := planFor(vs, first, r)
		if best.cost < 0 || p.cost < best.cost {
			best = p
		}
	}
	if best.cost < 0 {
		return Choice{}, ErrFull
	}
	c := best.choice()
	if r.Left > 0 && c.Estimate > r.Left*latePercent/100 {
		return c, ErrLate
	}
	return c, nil
}

// plan is one way to place a prompt.
type plan struct {
	first   *view
	helpers []*view
	// end is the time until the prompt is read.
	end time.Duration
	// cost is what is to be least, in seconds of a short prompt.
	cost float64
}

func (p plan) choice() Choice {
	stride := time.Duration(p.first.spec.Stride)
	c := Choice{First: p.first.endpoint, Estimate: p.end + max(p.first.writing(), stride*p.first.spec.Step)}
	for _, h := range p.helpers {
		c.Helpers = append(c.Helpers, h.endpoint)
	}
	return c
}

// planFor finds the number of helpers that is best with a given engine as the
// first.
func planFor(vs []*view, first *view, r Request) plan {
	base := firstCost(vs, first, r)
	whole := split(r.Prompt, 1)
	best := plan{first: first, end: first.finish(whole)}
	best.cost = base + endCost(best.end, r) + first.stall(whole)
	most := min(maxHelpers, int(r.Prompt/helperTokens)-1)
	if most < 1 {
		return best
	}
	hs := helpers(vs, first, split(r.Prompt, most+1))
	for n := 1; n <= min(most, len(hs)); n++ {
		p := split(r.Prompt, n+1)
		end := first.finish(p)
		cost := base + first.stall(p) + float64(n)*helperCost.Seconds()
		for _, h := range hs[:n] {
			end = max(end, h.finish(p))
			cost += h.stall(p)
		}
		cost += endCost(end, r)
		if cost < best.cost {
			best = plan{first: first, helpers: hs[:n], end: end, cost: cost}
		}
	}
	return best
}

// endCost weighs the time until the prompt is read.
func endCost(end time.Duration, r Request) float64 {
	near := max(0, end-r.Target*targetPercent/100)
	return value(r.Prompt) * (earlyWeight*end.Seconds() + near.Seconds())
}

// firstCost is what speaks against writing on an engine beside the time to
// read there.
func firstCost(vs []*view, v *view, r Request) float64 {
	cost := time.Duration(v.rank) * rankCost
	if r.Gap >= longGap {
		cost = time.Duration(len(vs)-v.rank) * rankCost
	}
	if v.requests == 0 {
		cost += openCost
	}
	cost += time.Duration(max(0, v.requests-packedRequests)) * packedCost
	// The caller's own pauses are at risk where much is read.
	risk := late(v.backlog + v.writing() - r.Gap*gapPercent/100).Seconds()
	if v.avoid {
		cost += avoidCost
	}
	return cost.Seconds() + value(r.Prompt)*risk
}

// helpers returns the engines that may help, the best first.
func helpers(vs []*view, first *view, p part) []*view {
	hs := make([]*view, 0, len(vs))
	cost := make(map[*view]float64, len(vs))
	for _, v := range vs {
		if v == first || v.avoid || v.helping >= v.spec.Slots {
			continue
		}
		hs = append(hs, v)
		cost[v] = v.finish(p).Seconds() + v.stall(p)
	}
	slices.SortStableFunc(hs, func(a, b *view) int { return cmp.Compare(cost[a], cost[b]) })
	return hs
}
