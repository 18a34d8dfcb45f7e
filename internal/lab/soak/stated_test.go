package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/pkg/ident"
)

func TestRestOfOneNodeRefusesOnlyItsRequests(t *testing.T) {
	now := time.Unix(100, 0)
	r := &restPeriod{asked: "n1", from: now, until: now.Add(restTime)}
	test.True(t, r.refuses("n1", now))
	test.False(t, r.refuses("n2", now))
	test.True(t, r.refuses("n1", now.Add(restSettleTime+1)))
	test.True(t, r.refuses("n1", now.Add(restTime)))
	test.Eq(t, map[ident.NodeName]int{"n1": 1}, r.late())
}

func TestLateRequestsCountFromTheFirstRefusalOfTheirNode(t *testing.T) {
	now := time.Unix(100, 0)
	r := &restPeriod{from: now, until: now.Add(restTime)}
	for _, n := range []ident.NodeName{"n1", "n2"} {
		test.True(t, r.refuses(n, now))
		now = now.Add(2 * restSettleTime)
	}
	test.MapEmpty(t, r.late())
}
