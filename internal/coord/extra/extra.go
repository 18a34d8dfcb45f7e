// Package extra limits the repeated sends of requests, that is all sends beyond
// the first of each request. The nodes share one budget, of which each node
// takes a part of its own, so that they need not coordinate.
package extra

import "time"

// Budget is one node's part of the budget for one service. It is not safe for
// concurrent use. Its exported fields are set before use.
type Budget struct {
	// Ratio is the number of extra sends allowed per request.
	Ratio float64
	// Window is the length of the sliding window in which sends are counted.
	Window time.Duration
	// Floor is the number of extra sends per window that all nodes together may
	// make regardless of the number of requests.
	Floor int

	requests, extras []time.Time
}

// margin keeps each node below its part of the budget, since the windows of
// different nodes slide independently.
const margin = 0.8

// Request counts a request to the service.
func (b *Budget) Request(now time.Time) {
	b.requests = append(dropBefore(b.requests, now.Add(-b.Window)), now)
}

// Take counts an extra send and reports whether the budget allows it. Nodes is
// the number of nodes that share the budget.
func (b *Budget) Take(now time.Time, nodes int) bool {
	b.extras = dropBefore(b.extras, now.Add(-b.Window))
	b.requests = dropBefore(b.requests, now.Add(-b.Window))
	limit := b.Ratio*float64(len(b.requests)) + float64(b.Floor)/float64(max(nodes, 1))
	if float64(len(b.extras)+1) > margin*limit {
		return false
	}
	b.extras = append(b.extras, now)
	return true
}

func dropBefore(ts []time.Time, before time.Time) []time.Time {
	i := 0
	for i < len(ts) && ts[i].Before(before) {
		i++
	}
	if i == 0 {
		return ts
	}
	return append(ts[:0], ts[i:]...)
}
