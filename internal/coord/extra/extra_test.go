package extra

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

const testWindow = 10 * time.Second

// countIn counts the times in a window that ends at end.
func countIn(ts []time.Time, end time.Time) int {
	n := 0
	for _, t := range ts {
		if !t.Before(end.Add(-testWindow)) && !t.After(end) {
			n++
		}
	}
	return n
}

// allowed returns the retries that the users allow in a window that ends at end:
// 0.2 for each request in that window, the one before it or the one half a window
// before it, whichever has most, and extra.
func allowed(requests []time.Time, end time.Time, extra int) float64 {
	most := max(countIn(requests, end), countIn(requests, end.Add(-testWindow)), countIn(requests, end.Add(-testWindow/2)))
	return 0.2*float64(most) + float64(extra)
}

func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	// In every window, the retries of all nodes are within what the users allow.
	// Requests and retries come at rates that change, with pauses of up to 5 s.
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		extra := rapid.IntRange(0, 120).Draw(t, "extra")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = &Budget{Ratio: 0.2, Window: testWindow, Extra: extra}
		}
		now := time.Unix(0, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			longest := rapid.SampledFrom([]int{0, 100, 500, 500, 5000}).Draw(t, "longest")
			now = now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest(now)
				requests = append(requests, now)
			} else if b.TakeRetry(now, nodes) {
				retries = append(retries, now)
			}
			if n, limit := countIn(retries, now), allowed(requests, now, extra); float64(n) > limit {
				t.Fatalf("%d retries, %.1f allowed", n, limit)
			}
		}
	})
}

// Requests on both sides of a pause of half a window are never in one of the
// windows that the users count. Guards against a budget that adds them up.
func TestRequestsAroundAPauseAreNotAddedUp(t *testing.T) {
	b := &Budget{Ratio: 0.2, Window: testWindow}
	start := time.Unix(0, 0)
	var requests, retries []time.Time
	add := func(at time.Duration) {
		for range 100 {
			b.AddRequest(start.Add(at))
			requests = append(requests, start.Add(at))
		}
	}
	add(4900 * time.Millisecond)
	add(10100 * time.Millisecond)
	for at := 10100 * time.Millisecond; at < 30*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		for b.TakeRetry(now, 1) {
			retries = append(retries, now)
		}
		test.LessEq(t, allowed(requests, now, 0), float64(countIn(retries, now)), test.Sprint(at))
	}
	test.SliceNotEmpty(t, retries)
}

// At a steady rate, a node uses most of its part of the budget.
func TestSteadyRequestsAllowTheirRetries(t *testing.T) {
	b := &Budget{Ratio: 0.2, Window: testWindow}
	now := time.Unix(0, 0)
	retries := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		b.AddRequest(now)
		if b.TakeRetry(now, 1) {
			retries++
		}
	}
	test.GreaterEq(t, 80, retries)
}

func TestBudgetRecovers(t *testing.T) {
	b := &Budget{Ratio: 0, Window: time.Second, Extra: 10}
	now := time.Unix(0, 0)
	taken := 0
	for b.TakeRetry(now, 2) {
		taken++
	}
	test.Eq(t, 4, taken)
	test.True(t, b.TakeRetry(now.Add(1100*time.Millisecond), 2))
}
