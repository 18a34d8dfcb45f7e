package extra

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	// Whatever the nodes do, their extra sends in any window stay within what
	// all their requests allow together.
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		floor := rapid.IntRange(0, 120).Draw(t, "floor")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = &Budget{Ratio: 0.2, Window: window, Floor: floor}
		}
		now := time.Unix(0, 0)
		var requests, extras []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.Take(now, nodes) {
				extras = append(extras, now)
			}
			inWindow := func(ts []time.Time) (n int) {
				for _, x := range ts {
					if !x.Before(now.Add(-window)) {
						n++
					}
				}
				return n
			}
			if n, limit := inWindow(extras), 0.2*float64(inWindow(requests))+float64(floor); float64(n) > limit {
				t.Fatalf("%d extra sends, %.1f allowed", n, limit)
			}
		}
	})
}

func TestBudgetRecovers(t *testing.T) {
	b := &Budget{Ratio: 0, Window: time.Second, Floor: 10}
	now := time.Unix(0, 0)
	taken := 0
	for b.Take(now, 2) {
		taken++
	}
	test.Eq(t, 4, taken)
	test.True(t, b.Take(now.Add(1100*time.Millisecond), 2))
}
