package place

import (
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// longChunks is the size in chunks from which a prompt counts as long.
	longChunks = 12
	// laneRequests is the number of short prompts at each engine of the lane
	// for them.
	laneRequests = 10
	// laneSpare is the number of engines in the lane beyond need.
	laneSpare = 1
	// longEngines is the least number of engines left to long prompts, as a
	// share of all.
	longEngines = 10
)

// isLong reports whether a prompt delays the writers beside it by reading.
func isLong(e *topol.Engine, prompt ident.Tokens) bool {
	return prompt > longChunks*e.Chunk
}

// shortLane marks the engines that are kept for short prompts: as many as
// those under way need, from the front of the order. All nodes know nearly the
// same prompts, so they mark nearly the same engines.
func shortLane(vs []*view, s Scene) {
	shorts := 0
	for _, w := range s.Works {
		if w.Prompt > 0 && !isLong(s.Engine, w.Prompt) {
			shorts++
		}
	}
	size := (shorts+laneRequests-1)/laneRequests + laneSpare
	most := len(vs) - (len(vs)+longEngines-1)/longEngines
	for _, v := range vs {
		v.short = v.rank < min(size, most)
	}
}

// allowed returns the engines that a prompt may use: long ones stay out of the
// lane of short ones as long as there are others.
func allowed(vs []*view, long bool) []*view {
	if !long {
		return vs
	}
	var out []*view
	for _, v := range vs {
		if !v.short {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return vs
	}
	return out
}
