package strik

import "laburnumstack.org/laburnum/pkg/ident"

const (
	// recentPrompts is the number of last prompts in a Recent, minRecent the least number
	// that shows which parts are common.
	recentPrompts = 128
	minRecent     = 40
	// A part is common if more than commonNumerator / commonDenominator of the prompts have it.
	commonNumerator, commonDenominator = 9, 10
)

// Recent holds the parts of the last prompts for a service. A part that nearly all of them have
// is in flight at each crash, whatever its cause: strikes are no evidence against it. It is not
// safe for concurrent use.
type Recent struct {
	prompts [][]ident.PartID
	// oldest is the index of the prompt that the next one replaces, once there are recentPrompts.
	oldest int
	counts map[ident.PartID]int
}

// Add adds the parts of a prompt, which must not change afterwards.
func (r *Recent) Add(parts []ident.PartID) {
	if r.counts == nil {
		r.counts = map[ident.PartID]int{}
	}
	if len(r.prompts) < recentPrompts {
		r.prompts = append(r.prompts, parts)
	} else {
		r.drop(r.prompts[r.oldest])
		r.prompts[r.oldest] = parts
		r.oldest = (r.oldest + 1) % recentPrompts
	}
	for p := range ident.SetOf(parts...) {
		r.counts[p]++
	}
}

func (r *Recent) drop(parts []ident.PartID) {
	for p := range ident.SetOf(parts...) {
		if r.counts[p]--; r.counts[p] == 0 {
			delete(r.counts, p)
		}
	}
}

// IsCommon reports whether nearly all of the last prompts have a part.
func (r *Recent) IsCommon(p ident.PartID) bool {
	n := len(r.prompts)
	return n >= minRecent && r.counts[p]*commonDenominator > n*commonNumerator
}
