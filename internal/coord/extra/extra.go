// Package extra is the retry budget of trans/gate: it limits the retries of the
// requests to a service. The nodes share one budget, of which each node uses
// its own part, so that they need not coordinate. The budget of trans/serve is
// in package retry.
package extra

import "time"

// Budget is one node's part of the retry budget of one service. It is not safe
// for concurrent use. The exported fields must be set before use.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries
	// are counted.
	Window time.Duration
	// Extra is the number of retries per window that all nodes together may make
	// in addition, whatever the number of requests.
	Extra int

	requests, retries []time.Time
}

// margin is the fraction of its part of the budget that a node uses. The
// windows slide, each node's on its own, so requests leave a window while the
// retries that they allowed still count.
const margin = 0.8

// AddRequest counts a request to the service.
func (b *Budget) AddRequest(now time.Time) {
	b.requests = append(dropBefore(b.requests, now.Add(-b.Window)), now)
}

// TakeRetry reports whether the budget allows another retry and, if so, counts
// it. Nodes is the number of nodes that share the budget.
func (b *Budget) TakeRetry(now time.Time, nodes int) bool {
	b.retries = dropBefore(b.retries, now.Add(-b.Window))
	b.requests = dropBefore(b.requests, now.Add(-b.Window))
	limit := b.Ratio*float64(len(b.requests)) + float64(b.Extra)/float64(max(nodes, 1))
	if float64(len(b.retries)+1) > margin*limit {
		return false
	}
	b.retries = append(b.retries, now)
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
