package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/pkg/ident"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func newTable(share float64) *Table {
	return &Table{Share: func(_ Key, rate float64) float64 { return rate * share }}
}

// Guards against LIMIT: the shares of all nodes must add up to no more than the
// rate, and all nodes must choose the same users.
func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []ident.NodeName
		for i := range rapid.IntRange(1, 90).Draw(t, "nodes") {
			names = append(names, ident.NodeName(fmt.Sprint("n", i)))
		}
		rate := rapid.Float64Range(minRate, 200).Draw(t, "rate")
		k := Key{Endpoint: ident.EndpointName(rapid.StringN(1, 5, 9).Draw(t, "endpoint"))}
		known := len(names) + rapid.IntRange(0, 2*len(names)).Draw(t, "silent")
		sum, users := 0.0, 0
		for _, n := range names {
			s := Nodes{Self: n, Alive: names, Known: known}.Share(k, rate)
			sum += s
			if s > 0 {
				users++
			}
		}
		must.LessEq(t, rate+1e-9, sum)
		if 2*len(names) >= known {
			must.GreaterEq(t, rate-1e-9, sum, must.Sprint("nothing is left unused"))
			must.LessEq(t, max(1, int(rate/minShare)), users)
		}
	})
}

// Guards against LIMIT: whatever the times of requests, a node keeps within its
// share.
func TestTakeKeepsWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 5).Draw(t, "rate")
		table := newTable(1)
		table.Record(Limit{Key: Key{Endpoint: "e"}, Rate: rate, ObservedAt: at(0)}, at(0))
		now, taken := 0.0, 0
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "pause")
			if table.Take(Key{Endpoint: "e"}, at(now)) {
				taken++
			}
		}
		must.LessEq(t, max(rate, minRate)*now+1e-6, float64(taken))
	})
}

func TestLimitsChangeAndEnd(t *testing.T) {
	table := newTable(1)
	k := Key{Endpoint: "e"}
	test.False(t, table.Record(Limit{Key: k, Ended: true, ObservedAt: at(0)}, at(0)), test.Sprint("it never named a limit"))
	test.True(t, table.Take(k, at(0)))
	test.True(t, table.Record(Limit{Key: k, Rate: 2, ObservedAt: at(1)}, at(1)))
	test.False(t, table.Take(k, at(1)), test.Sprint("another node may have just sent a request"))
	test.True(t, table.Take(k, at(1.5)))
	test.False(t, table.Take(k, at(1.6)))
	test.False(t, table.Record(Limit{Key: k, Rate: 9, ObservedAt: at(0.5)}, at(2)), test.Sprint("an earlier observation of a peer"))
	test.True(t, table.Record(Limit{Key: k, Rate: 10, ObservedAt: at(2)}, at(2)))
	test.True(t, table.Take(k, at(2)))
	test.True(t, table.Take(Key{Endpoint: "e", Born: 7}, at(2)), test.Sprint("another start of the endpoint"))
	test.True(t, table.Record(Limit{Key: k, Ended: true, ObservedAt: at(3)}, at(3)))
	test.True(t, table.Take(k, at(3)))
	test.True(t, table.Take(k, at(3)))
}

func TestNodeWithoutShareSendsNothing(t *testing.T) {
	table := newTable(0)
	k := Key{Endpoint: "e"}
	table.Record(Limit{Key: k, Rate: 2, ObservedAt: at(0)}, at(0))
	test.False(t, table.Take(k, at(9)))
	wait, ok := table.Wait(k, at(9))
	test.False(t, ok)
	test.Eq(t, 500*time.Millisecond, wait)
	table.Share = func(_ Key, rate float64) float64 { return rate }
	test.False(t, table.Take(k, at(9)), test.Sprint("the node that had the share may have just sent a request"))
	test.True(t, table.Take(k, at(9.5)))
}

func TestRefreshDropsWhatNobodyHolds(t *testing.T) {
	exists := func(k Key) bool { return k.Endpoint != "gone" }
	table := newTable(0)
	table.Record(Limit{Key: Key{Endpoint: "e"}, Rate: 2, ObservedAt: at(0)}, at(0))
	table.Record(Limit{Key: Key{Endpoint: "gone"}, Rate: 2, ObservedAt: at(0)}, at(0))
	test.SliceEmpty(t, table.Refresh(at(9), exists))
	test.Eq(t, 1, table.Len())
	table.Record(Limit{Key: Key{Endpoint: "e"}, Rate: 2, ObservedAt: at(0)}, at(9))
	table.Refresh(at(18), exists)
	test.Eq(t, 1, table.Len(), test.Sprint("a peer still holds it"))
	table.Refresh(at(19.5), exists)
	test.Eq(t, 0, table.Len())

	holder := newTable(0.5)
	holder.Record(Limit{Key: Key{Endpoint: "e"}, Rate: 2, ObservedAt: at(0)}, at(0))
	for i := range 5 {
		test.SliceLen(t, 1, holder.Refresh(at(float64(9*i)), exists))
	}
}

// Guards against a process that ends by a rate which is no number: the number of nodes that
// share it has no defined value then, and is negative on x86-64.
func TestRatesThatAreNoNumbersAreNotRecorded(t *testing.T) {
	nodes := Nodes{Self: "a", Alive: []ident.NodeName{"a", "b"}, Known: 2}
	k := Key{Endpoint: "e"}
	table := Table{Share: nodes.Share}
	now := time.Now()
	for _, rate := range []float64{math.NaN(), math.Inf(-1), -1} {
		test.False(t, table.Record(Limit{Key: k, Rate: rate, ObservedAt: now}, now))
	}
	for _, rate := range []float64{math.Inf(1), math.MaxFloat64, math.SmallestNonzeroFloat64, 0} {
		test.True(t, table.Record(Limit{Key: k, Rate: rate, ObservedAt: now}, now))
		wait, _ := table.Wait(k, now)
		test.GreaterEq(t, 0, wait)
	}
}
