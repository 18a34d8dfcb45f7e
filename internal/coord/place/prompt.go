package place

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// memoryPercent of an engine's memory is given to prompts and answers.
	memoryPercent = 94
	// longChunks is the size in chunks from which a prompt counts as long.
	longChunks = 12
	// shortWriters is the number of requests at an engine beyond which short
	// prompts open another engine for writing.
	shortWriters = 12
	// helperTokens is the size of part below which another helper is not
	// worth its while.
	helperTokens = 700
	// maxHelpers is the most that an engine takes.
	maxHelpers = 16
	// helperCost is what each helper must gain.
	helperCost = time.Millisecond
	// reservedReaders is the number of engines without writers that long
	// prompts leave to short ones.
	reservedReaders = 3
	// openCost is what an engine without writers must gain to get the first.
	openCost = 60 * time.Millisecond
	// avoidCost keeps requests from engines that fail.
	avoidCost = 10 * time.Second
	// latePercent of the time left may go by before the first event.
	latePercent = 70
)

func isLong(e *topol.Engine, prompt ident.Tokens) bool {
	return e != nil && prompt > longChunks*e.Chunk
}

func choosePrompt(s Scene, r Request) (Choice, error) {
	vs := views(s)
	vs = slices.DeleteFunc(vs, func(v *view) bool { return r.Tried.Has(v.endpoint.Name) })
	if len(vs) == 0 {
		return Choice{}, ErrNone
	}
	if r.Prompt+r.Output > s.Engine.Memory*memoryPercent/100 {
		return Choice{}, ErrTooLarge
	}
	long := isLong(s.Engine, r.Prompt)
	first := chooseFirst(vs, r, long)
	if first == nil {
		return Choice{}, ErrFull
	}
	c := withHelpers(vs, first, r, long)
	if r.Left > 0 && c.Estimate > r.Left*latePercent/100 {
		return c, ErrLate
	}
	return c, nil
}

// chooseFirst takes the engine that writes the answer. Short prompts fill the
// engines from the front, long ones from the back, so that those between stay
// free of writers and read fast.
func chooseFirst(vs []*view, r Request, long bool) *view {
	var best *view
	var bestCost time.Duration
	for i := range vs {
		v := vs[i]
		if long {
			v = vs[len(vs)-1-i]
		}
		if v.requests >= v.spec.Slots || !v.fits(r.Prompt+r.Output) {
			continue
		}
		cost := firstCost(v, r, long)
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

func firstCost(v *view, r Request, long bool) time.Duration {
	n := 1 + min(maxHelpers, int(r.Prompt/helperTokens))
	cost := v.finish(split(r.Prompt, n))
	if v.requests == 0 {
		cost += openCost
	}
	if !long {
		cost += time.Duration(max(0, v.requests-shortWriters)) * openCost
		cost += time.Duration(v.longs) * openCost
	}
	if long {
		cost += time.Duration(v.requests-v.longs) * openCost / 4
	}
	if v.avoid {
		cost += avoidCost
	}
	return cost
}

// withHelpers adds the helpers that bring the first event soonest.
func withHelpers(vs []*view, first *view, r Request, long bool) Choice {
	hs := readers(vs, first, r, long)
	most := min(len(hs), maxHelpers, int(r.Prompt/helperTokens))
	bestN, best := 0, first.finish(split(r.Prompt, 1))
	for n := 1; n <= most; n++ {
		p := split(r.Prompt, n+1)
		end := first.finish(p)
		for _, h := range hs[:n] {
			end = max(end, h.finish(p))
		}
		if end+time.Duration(n-bestN)*helperCost < best {
			bestN, best = n, end
		}
	}
	c := Choice{First: first.endpoint, Estimate: best + first.writing()}
	if first.writers == 0 {
		c.Estimate = best + time.Duration(first.spec.Stride)*first.spec.Step
	}
	for _, h := range hs[:bestN] {
		c.Helpers = append(c.Helpers, h.endpoint)
	}
	return c
}

// readers returns the engines that may help, the best first.
func readers(vs []*view, first *view, r Request, long bool) []*view {
	p := split(r.Prompt, 1+min(maxHelpers, int(r.Prompt/helperTokens)))
	hs := make([]*view, 0, len(vs))
	reserved := 0
	for _, v := range vs {
		if v == first || v.avoid || v.helping >= v.spec.Slots {
			continue
		}
		if long && v.requests == 0 && reserved < reservedReaders {
			reserved++
			continue
		}
		hs = append(hs, v)
	}
	slices.SortStableFunc(hs, func(a, b *view) int { return int(a.finish(p) - b.finish(p)) })
	return hs
}
