package place

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestNewestPartsForOthersAreReadFirst(t *testing.T) {
	const ms = time.Millisecond
	var r reads
	r.weight = 1
	r.own(unread{left: 50 * ms, risk: 100}, -60*ms)
	r.lend(unread{left: 40 * ms, risk: 10}, -50*ms)
	r.lend(unread{left: 20 * ms, risk: 1}, -45*ms)
	// 10 ms of the own part, 5 of the older, 20 of the newer one and 25 of the
	// older again.
	test.Eq(t, 50*ms, r.settle())
	test.Eq(t, 1, len(r.lent))
	test.InDelta(t, 11, r.delay(100*ms), 1e-9, test.Sprint("what is read is delayed no more"))
	r.weight = 0.5
	test.InDelta(t, 5.5, r.delay(100*ms), 1e-9)
}

func TestPartsDelayLessWhereFewEnginesAre(t *testing.T) {
	test.Eq(t, 1, delayWeight(100))
	test.Less(t, 0.4, delayWeight(23))
	test.Positive(t, delayWeight(1))
}
