package place

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestNewestPartsForOthersArePrefilledFirst(t *testing.T) {
	const ms = time.Millisecond
	var q prefillQueue
	q.delayFactor = 1
	q.addOwn(pendingPart{left: 50 * ms, lossRate: 100}, -60*ms)
	q.addForOther(pendingPart{left: 40 * ms, lossRate: 10}, -50*ms)
	q.addForOther(pendingPart{left: 20 * ms, lossRate: 1}, -45*ms)
	// 10 ms of the own part, 5 ms of the older part, 20 ms of the newer part and
	// then 25 ms of the older part again are prefilled.
	test.Eq(t, 50*ms, q.advanceToNow())
	test.Eq(t, 1, len(q.forOthers))
	test.InDelta(t, 11, q.delayLoss(100*ms), 1e-9, test.Sprint("a prefilled part is not delayed"))
	q.delayFactor = 0.5
	test.InDelta(t, 5.5, q.delayLoss(100*ms), 1e-9)
}

func TestDelayFactorIsSmallerWithFewEngines(t *testing.T) {
	test.Eq(t, 1, delayFactor(100))
	test.Less(t, 0.4, delayFactor(23))
	test.Positive(t, delayFactor(1))
}
