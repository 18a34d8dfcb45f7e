// Package extra is the retry budget of trans/gate: it limits the retries of the
// requests to a service. The nodes share one budget, of which each node uses
// its own part, so that they need not coordinate. The budget of trans/serve is
// in package retry.
package extra

import (
	"sort"
	"time"
)

// Budget is one node's part of the retry budget of one service. It is not safe
// for concurrent use. The exported fields must be set before use.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the sliding window in which retries are counted.
	// The requests that allow them are counted in the same window, the one before
	// it or the one half a window before it, whichever has most.
	Window time.Duration
	// Extra is the number of retries per window that all nodes together may make
	// in addition, whatever the number of requests.
	Extra int

	requests, retries []time.Time
}

// margin is the fraction of its part of the budget that a node uses. The
// requests of several nodes may have their peaks in different windows.
const margin = 0.8

// AddRequest counts a request to the service.
func (b *Budget) AddRequest(now time.Time) {
	b.requests = append(dropBefore(b.requests, now.Add(-2*b.Window)), now)
}

// TakeRetry reports whether the budget allows another retry and, if so, counts
// it. Nodes is the number of nodes that share the budget.
func (b *Budget) TakeRetry(now time.Time, nodes int) bool {
	b.retries = dropBefore(b.retries, now.Add(-b.Window))
	b.requests = dropBefore(b.requests, now.Add(-2*b.Window))
	limit := b.Ratio*float64(b.countableRequests(now)) + float64(b.Extra)/float64(max(nodes, 1))
	if float64(len(b.retries)+1) > margin*limit {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// countableRequests returns the number of requests that allow a retry now. The
// retry counts in each window that ends within the next Window, also after requests
// have left these windows. So the window that allows the fewest retries decides.
func (b *Budget) countableRequests(now time.Time) int {
	least := b.countFor(now)
	for _, t := range b.requests {
		// Requests leave the windows at these moments.
		for _, end := range []time.Time{t.Add(b.Window), t.Add(b.Window * 3 / 2), t.Add(2 * b.Window)} {
			if end.After(now) && end.Before(now.Add(b.Window)) {
				least = min(least, b.countFor(end))
			}
		}
	}
	return least
}

// countFor returns the number of requests that allow retries in the window that
// ends at end.
func (b *Budget) countFor(end time.Time) int {
	return max(b.countUntil(end), b.countUntil(end.Add(-b.Window/2)), b.countUntil(end.Add(-b.Window)))
}

// countUntil returns the number of requests in the window that ends at end. A
// request at its beginning is no longer in it.
func (b *Budget) countUntil(end time.Time) int {
	return b.indexAfter(end) - b.indexAfter(end.Add(-b.Window))
}

// indexAfter returns the index of the first request after t.
func (b *Budget) indexAfter(t time.Time) int {
	return sort.Search(len(b.requests), func(i int) bool { return b.requests[i].After(t) })
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
