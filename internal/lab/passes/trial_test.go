package passes

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
)

func day54(seed uint64, load float64, without bool) Config {
	w := LargeWorkload(seed)
	w.UpdateDelay = 15 * time.Millisecond
	w.Engine.Memory = 197_200
	w.EngineCount, w.NodeCount = 54, 28
	k := w.Kinds
	k[0].Rate, k[1].Rate, k[2].Rate = 79, 5.4, 3.3
	k[2].Name, k[2].MeanTokens, k[2].Target = "190k", 190_000, 3*time.Second
	for i := range k {
		k[i].Rate *= load
	}
	w.Workspaces, w.LargeWorkspaces, w.MaxReturnFactor = 24, 4, 2
	w.WithoutQueue = without
	return w
}

func TestTrial(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SEEDS"))
	load, _ := strconv.ParseFloat(os.Getenv("LOAD"), 64)
	if n == 0 {
		t.Skip()
	}
	for _, without := range []bool{true, false} {
		if without && os.Getenv("NOBASE") != "" {
			continue
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var sum []Result
		for seed := range n {
			wg.Go(func() {
				r := Run(day54(uint64(2000+seed), load, without))
				mu.Lock()
				sum = Add(sum, r)
				mu.Unlock()
			})
		}
		wg.Wait()
		fmt.Println("without queue:", without)
		for _, r := range sum {
			fmt.Printf("%s n=%d inTime=%d late=%d+%d failed=%d refused=%d again=%d credit=%.3f large=%.3f small=%.3f sizes", r.Kind, r.Requests, r.InTime, r.LateFirst, r.LateGap, r.Failed, r.Refused, r.RefusedAgain, r.CreditRatio(), r.Large.Share(), r.Small.Share())
			for c := range bysize.Classes {
				fmt.Printf(" %.2f", r.Sizes.Ratio(c))
			}
			fmt.Println()
		}
	}
}
