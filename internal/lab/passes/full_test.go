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

// Load pattern: bursts of short prompts take all slots, for shorter or longer times. Guards against
// returning prompts that wait for slots and get them instead of first tries, whose answers would be
// in time: without the bound maxLatePercent, 6 % fewer were. The sum over several days is
// compared since each other decision changes the rest of a day, in both directions.
func TestWaitingBeyondTheSlotsCostsFewAnswersInTime(t *testing.T) {
	var waiting, without []Result
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, engines := range []int{36, 38, 39, 40} {
		for seed := range uint64(2) {
			wg.Go(func() {
				w := shortBurst(seed+1, engines)
				a := Run(w)
				w.Choose = withoutWaiting
				b := Run(w)
				mu.Lock()
				defer mu.Unlock()
				waiting, without = Add(waiting, a), Add(without, b)
			})
		}
	}
	wg.Wait()
	for i, r := range waiting {
		b := without[i]
		t.Logf("%s: %d prompts; in time %d, late %d, failed %d, rejected twice %d; without waiting %d, %d, %d, %d",
			r.Kind, r.Requests, r.InTime, r.LateFirst+r.LateGap, r.Failed, r.Refused, b.InTime, b.LateFirst+b.LateGap, b.Failed, b.Refused)
		test.GreaterEq(t, b.InTime-max(5, b.Requests/100), r.InTime, test.Sprint(r.Kind))
	}
	short, before := waiting[0], without[0]
	test.LessEq(t, before.Refused+before.Failed+before.Requests/500, short.Refused+short.Failed)
}
