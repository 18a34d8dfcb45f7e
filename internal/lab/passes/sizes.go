package passes

import (
	"cmp"
	"slices"
)

// SizeClass is a class of the prompts of one kind by their size.
type SizeClass int

// The classes of a kind: its largest tenth, the fifth below it, and the rest.
const (
	OtherSizes SizeClass = iota
	NextFifth
	LargestTenth
	sizeClasses
)

// SizeResult counts the prompts of a size class.
type SizeResult struct {
	Requests, Served int
}

// ServedShare returns the share of the prompts that were answered, also late.
func (r SizeResult) ServedShare() float64 { return float64(r.Served) / max(1, float64(r.Requests)) }

func (r *SizeResult) add(b SizeResult) {
	r.Requests += b.Requests
	r.Served += b.Served
}

// SizeResults holds the results of the prompts of one kind, indexed by SizeClass.
type SizeResults [sizeClasses]SizeResult

// All returns the results of all sizes together.
func (rs SizeResults) All() SizeResult {
	var sum SizeResult
	for _, r := range rs {
		sum.add(r)
	}
	return sum
}

func (rs *SizeResults) add(b SizeResults) {
	for i := range rs {
		rs[i].add(b[i])
	}
}

// sizeResults counts the prompts of one kind by size class.
func sizeResults(qs []*prompt) SizeResults {
	var rs SizeResults
	sorted := slices.SortedFunc(slices.Values(qs), func(a, b *prompt) int { return cmp.Compare(a.tokens, b.tokens) })
	for i, q := range sorted {
		r := &rs[classOfRank(i, len(sorted))]
		r.Requests++
		if q.served() {
			r.Served++
		}
	}
	return rs
}

// classOfRank returns the size class of the prompt at index i of n in the order
// of sizes.
func classOfRank(i, n int) SizeClass {
	switch {
	case 10*(n-i) <= n:
		return LargestTenth
	case 10*(n-i) <= 3*n:
		return NextFifth
	default:
		return OtherSizes
	}
}
