package extra

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	// In every window, the retries of all nodes are at most Ratio times their
	// requests plus Extra.
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		extra := rapid.IntRange(0, 120).Draw(t, "extra")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = &Budget{Ratio: 0.2, Window: window, Extra: extra}
		}
		now := time.Unix(0, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest(now)
				requests = append(requests, now)
			} else if b.TakeRetry(now, nodes) {
				retries = append(retries, now)
			}
			inWindow := func(ts []time.Time) (n int) {
				for _, x := range ts {
					if !x.Before(now.Add(-window)) {
						n++
					}
				}
				return n
			}
			if n, limit := inWindow(retries), 0.2*float64(inWindow(requests))+float64(extra); float64(n) > limit {
				t.Fatalf("%d retries, %.1f allowed", n, limit)
			}
		}
	})
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
