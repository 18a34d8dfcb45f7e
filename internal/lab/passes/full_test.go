package passes

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/place"
)

// shortBurst returns a burst of short prompts at the rates of the deployment with 28 nodes, while
// fewer engines are available than it needs.
func shortBurst(seed uint64, engines int) Config {
	w := LargeWorkload(seed)
	w.EngineCount, w.NodeCount, w.UpdateDelay = engines, 28, 15*time.Millisecond
	w.Kinds[0].Rate, w.Kinds[1].Rate, w.Kinds[2].Rate = 79, 5.4, 3.3
	w.Phases = []Phase{
		{Duration: 2 * time.Second, RateFactors: []float64{1, 1, 0.3}},
		{Duration: 10 * time.Second, RateFactors: []float64{2.5, 0.5, 0.05}},
		{Duration: 3 * time.Second, RateFactors: []float64{0.5, 0.5, 0.3}},
	}
	return w
}

// withoutWaiting is place.Choose without requests that wait beyond the slots.
func withoutWaiting(s place.ServiceState, r place.Request) (place.Choice, error) {
	c, err := place.Choose(s, r)
	if c.Waits {
		r.IsRetry = false
		return place.Choose(s, r)
	}
	return c, err
}

// Load pattern: a burst of short prompts takes all slots. Guards against returning prompts that
// wait for slots and get them instead of first tries, whose answers would be in time. Without the
// bound maxLatePercent, 12 % fewer answers were in time. Differences of less than 1 % are chance:
// one other decision changes the rest of a day.
func TestWaitingBeyondTheSlotsCostsNoAnswersInTime(t *testing.T) {
	for _, engines := range []int{36, 39} {
		var waiting, without []Result
		var wg sync.WaitGroup
		var mu sync.Mutex
		for seed := range uint64(3) {
			wg.Go(func() {
				a := Run(shortBurst(seed+1, engines))
				w := shortBurst(seed+1, engines)
				w.Choose = withoutWaiting
				b := Run(w)
				mu.Lock()
				defer mu.Unlock()
				waiting, without = Add(waiting, a), Add(without, b)
			})
		}
		wg.Wait()
		for i, r := range waiting {
			b := without[i]
			t.Logf("%d engines, %s: %d prompts; in time %d, late %d, failed %d, rejected twice %d; without waiting %d, %d, %d, %d",
				engines, r.Kind, r.Requests, r.InTime, r.LateFirst+r.LateGap, r.Failed, r.Refused, b.InTime, b.LateFirst+b.LateGap, b.Failed, b.Refused)
		}
		short, before := waiting[0], without[0]
		test.GreaterEq(t, before.InTime-before.Requests/100, short.InTime)
		test.LessEq(t, before.Refused+before.Failed+before.Requests/500, short.Refused+short.Failed)
	}
}
