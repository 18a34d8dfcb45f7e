// Package extra bounds the sends beyond the first of each request. All nodes
// share one budget, of which each takes a part that needs no agreement.
package extra

import "time"

// Budget is one node's part of the budget for one service. It is not safe for
// concurrent use. Its fields are set before use.
type Budget struct {
	// Ratio is the number of extra sends allowed for each request.
	Ratio float64
	// Window is the time over which sends are counted.
	Window time.Duration
	// Floor is the number of extra sends in a window allowed to all nodes
	// together, whatever the number of requests.
	Floor int

	requests, extras []time.Time
}

// margin keeps a node below its part, since windows of different nodes slide.
const margin = 0.8

// Request counts a request for the service.
func (b *Budget) Request(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-b.Window)), now)
}

// Take counts an extra send if the budget allows it. Nodes is the number of
// nodes that share the budget.
func (b *Budget) Take(now time.Time, nodes int) bool {
	b.extras = trim(b.extras, now.Add(-b.Window))
	b.requests = trim(b.requests, now.Add(-b.Window))
	most := b.Ratio*float64(len(b.requests)) + float64(b.Floor)/float64(max(nodes, 1))
	if float64(len(b.extras)+1) > margin*most {
		return false
	}
	b.extras = append(b.extras, now)
	return true
}

func trim(ts []time.Time, before time.Time) []time.Time {
	i := 0
	for i < len(ts) && ts[i].Before(before) {
		i++
	}
	if i == 0 {
		return ts
	}
	return append(ts[:0], ts[i:]...)
}
