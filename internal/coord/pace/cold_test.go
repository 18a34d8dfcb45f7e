package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/pkg/ident"
)

var coldKey = quota.Key{Endpoint: "e", Born: 1}

// stated is the rate of the deployment with cold endpoints.
var stated = Rate{PerSecond: 15, Overage: 1.5, Slack: 5}

func address(i int) ident.NodeName {
	return ident.NodeName(fmt.Sprint("10.0.", i/250, ".", i%250, ":7000"))
}

func addresses(n int) []ident.NodeName {
	as := make([]ident.NodeName, n)
	for i := range as {
		as[i] = address(i)
	}
	return as
}

// node is a node with its own clock, whose time of day is off by any amount.
type node struct {
	self  ident.NodeName
	clock time.Time
	view  View
	cold  Cold
}

func newNode(i int, offset time.Duration) *node {
	return &node{self: address(i), clock: time.Unix(1_000_000, 0).Add(offset)}
}

// at returns the time of the node's clock.
func (n *node) at(d time.Duration) time.Time { return n.clock.Add(d) }

// settle lets the node know members for so long that it relies on them.
func (n *node) settle(known []ident.NodeName, alive int) {
	m := Members{Self: n.self, Known: slices.Clone(known), Alive: alive, IsInformed: true}
	n.view.Update(m, n.at(-2*settleTime))
	n.view.Update(m, n.at(-settleTime))
}

// busiestSecond returns the largest number of times within any second.
func busiestSecond(ts []time.Duration) int {
	slices.Sort(ts)
	most, first := 0, 0
	for i, t := range ts {
		for t-ts[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// largestSum returns the largest sum of the parts of nodes of which each lacks at most missing of
// the others. The node of which r others come first has at least the rank r - missing, and knows
// at least nodes - missing members.
func largestSum(allowance, nodes, missing int) int {
	sum := 0
	for r := range nodes {
		left := allowance - max(0, r-missing)
		if left > 0 {
			sum += (left + nodes - missing - 1) / (nodes - missing)
		}
	}
	return sum
}

// Guards against a cold endpoint that crashes by the requests of nodes which each keep to a part
// of their own, but don't agree on the members. In no second does it get more than the bound if
// each node that sends knows all others that send but for so few that largestSum is within the
// bound, whatever else it knows: nodes that don't run, nodes that it doesn't hear.
func TestRequestsToAColdEndpointStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{
			PerSecond: rapid.Float64Range(0.2, 60).Draw(t, "rate"),
			Overage:   rapid.Float64Range(1, 2).Draw(t, "overage"),
			Slack:     rapid.Float64Range(0, 10).Draw(t, "slack"),
		}
		count := rapid.OneOf(rapid.IntRange(1, 40), rapid.IntRange(1, 320)).Draw(t, "nodes")
		missing := rapid.IntRange(0, count-1).Draw(t, "missing")
		aim := min(float64(rate.Max()), rate.PerSecond*minWindow.Seconds())
		most := max(1, int(aim+(float64(rate.Max())-aim)/2))
		for missing > 0 && largestSum(most, count, missing) > rate.Max() {
			missing--
		}
		all := addresses(count)
		// known draws what a node knows: all others but for some, and nodes that don't run.
		known := func(rng *rand.Rand, self int) Members {
			ks := slices.Clone(all)
			for range rng.IntN(missing + 1) {
				if i := rng.IntN(len(ks)); ks[i] != all[self] {
					ks = slices.Delete(ks, i, i+1)
				}
			}
			for i := range rng.IntN(4) {
				ks = append(ks, address(1000+i))
			}
			return Members{Self: all[self], Known: ks, Alive: 1 + rng.IntN(len(ks)), IsInformed: true}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		nodes := make([]*node, count)
		for i := range nodes {
			nodes[i] = newNode(i, time.Duration(rng.Int64N(2e15)-1e15))
			nodes[i].settle(known(rng, i).Known, count)
			seenAt := nodes[i].at(time.Duration(rng.Int64N(1e9)))
			nodes[i].cold.RecordStated(coldKey, rate, time.Minute, seenAt)
		}
		// Each node has requests at any time, but for pauses, and sends as soon as it may.
		pauses := rapid.Float64Range(0, 0.5).Draw(t, "pauses")
		tryAt := make([]time.Duration, count)
		for i := range tryAt {
			tryAt[i] = time.Duration(rng.Int64N(int64(time.Second)))
		}
		var arrivals []time.Duration
		for now := time.Duration(0); now < 3500*time.Millisecond; {
			i := 0
			for j, at := range tryAt {
				if at < tryAt[i] {
					i = j
				}
			}
			n := nodes[i]
			now = tryAt[i]
			if rng.IntN(10) == 0 {
				n.view.Update(known(rng, i), n.at(now))
			}
			if n.cold.Take(coldKey, &n.view, n.at(now)) && n.cold.Sent(coldKey, n.at(now), n.at(now)) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(minWindow-time.Second))))
			}
			wait, _ := n.cold.Wait(coldKey, &n.view, n.at(now))
			tryAt[i] = now + max(time.Millisecond, min(wait, 200*time.Millisecond))
			if rng.Float64() < pauses {
				tryAt[i] += time.Duration(rng.Int64N(int64(time.Second)))
			}
		}
		must.LessEq(t, rate.Max(), busiestSecond(arrivals), must.Sprint(count, missing))
	})
}

// Guards against a bound that holds only if connections are fast: a request may be written any
// time after its turn was taken, and the next turn counts from then.
func TestSlowConnectionsDoNotBunchRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(0, 0)
		n.settle(addresses(rapid.IntRange(1, 40).Draw(t, "nodes")), 1)
		n.cold.RecordStated(coldKey, stated, time.Minute, n.at(0))
		type turn struct{ takenAt, writtenAt time.Duration }
		var waiting []turn
		var written []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 1e8).Draw(t, "pause"))
			waiting = slices.DeleteFunc(waiting, func(w turn) bool {
				if w.writtenAt > now {
					return false
				}
				if n.cold.Sent(coldKey, n.at(w.takenAt), n.at(now)) {
					written = append(written, now)
				}
				return true
			})
			if n.cold.Take(coldKey, &n.view, n.at(now)) {
				waiting = append(waiting, turn{now, now + time.Duration(rapid.Int64Range(0, 4e9).Draw(t, "connecting"))})
			}
		}
		must.LessEq(t, part(stated.allowance(n.view.Size(), n.view.alive), n.view.Size(), n.view.rank(coldKey, &rankCache{})), busiestSecond(written))
	})
}

// Guards against a data centre's endpoints that come back together with all nodes: each node knows
// only itself, and would take the whole rate.
func TestNodesThatStartTogetherSendNothingUntilTheyKnowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.OneOf(rapid.IntRange(2, 40), rapid.IntRange(2, 320)).Draw(t, "nodes")
		all := addresses(count)
		var arrivals []time.Duration
		for i := range all {
			n := newNode(i, 0)
			startedAt := time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "started"))
			informedAt := startedAt + time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "informed"))
			// Within settleTime of the first word of others, it has heard of all that start.
			knowsAllAt := informedAt + time.Duration(rapid.Int64Range(0, int64(settleTime)).Draw(t, "knows all"))
			n.cold.Assume(coldKey, stated, 30*time.Second, n.at(startedAt))
			for now := startedAt; now < 12*time.Second; now += 200 * time.Millisecond {
				m := Members{Self: n.self, Known: []ident.NodeName{n.self}, Alive: 1, IsInformed: now >= informedAt}
				if now >= knowsAllAt {
					m.Known, m.Alive = slices.Clone(all), count
				}
				n.view.Update(m, n.at(now))
				if n.cold.Take(coldKey, &n.view, n.at(now)) && n.cold.Sent(coldKey, n.at(now), n.at(now)) {
					must.GreaterEq(t, informedAt+settleTime, now)
					arrivals = append(arrivals, now)
				}
			}
		}
		must.LessEq(t, stated.Max(), busiestSecond(arrivals))
		must.SliceNotEmpty(t, arrivals)
	})
}

func TestNodeThatKnowsNobodyKeepsWithinTheBound(t *testing.T) {
	n := newNode(0, 0)
	alone := Members{Self: n.self, Known: []ident.NodeName{n.self}, Alive: 1}
	n.cold.Assume(coldKey, stated, time.Hour, n.at(0))
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		n.view.Update(alone, n.at(now))
		must.False(t, n.cold.Take(coldKey, &n.view, n.at(now)), must.Sprint("it has not read the list of members"))
	}
	wait, ok := n.cold.Wait(coldKey, &n.view, n.at(time.Minute))
	test.False(t, ok)
	test.Eq(t, 59*time.Minute, wait)
	alone.IsInformed = true
	var sent []time.Duration
	for now := time.Minute; now < 70*time.Second; now += 10 * time.Millisecond {
		n.view.Update(alone, n.at(now))
		if n.cold.Take(coldKey, &n.view, n.at(now)) && n.cold.Sent(coldKey, n.at(now), n.at(now)) {
			sent = append(sent, now)
		}
	}
	test.LessEq(t, stated.Max(), busiestSecond(sent))
	test.GreaterEq(t, 6*14, len(sent), test.Sprint("it is known to be alone and uses the rate, but for the first 3 s"))
}

// Guards against an allowance of which most is unused: with requests at all nodes, the endpoint
// gets about the rate that it tolerates.
func TestTheRateIsUsed(t *testing.T) {
	for _, count := range []int{1, 2, 7, 16, 17, 75, 320} {
		for _, silent := range []int{0, count / 3} {
			nodes := make([]*node, count-silent)
			for i := range nodes {
				nodes[i] = newNode(i, 0)
				nodes[i].settle(addresses(count), len(nodes))
				nodes[i].cold.Assume(coldKey, stated, time.Minute, nodes[i].at(0))
			}
			total := 0
			for now := time.Duration(0); now < 11*time.Second; now += 5 * time.Millisecond {
				for _, n := range nodes {
					if n.cold.Take(coldKey, &n.view, n.at(now)) && n.cold.Sent(coldKey, n.at(now), n.at(now)) {
						total++
					}
				}
			}
			perSecond := float64(total) / 11
			t.Log(count, silent, perSecond)
			test.Between(t, 9, perSecond, 21, test.Sprint(count, silent))
			if silent == 0 {
				test.Between(t, 13, perSecond, 15, test.Sprint(count))
			}
		}
	}
}

func TestAllowanceOfOddRates(t *testing.T) {
	for _, perSecond := range []float64{math.SmallestNonzeroFloat64, 1e-9, 0.1, 0.99, 1, 1e9, math.MaxFloat64} {
		for _, r := range []Rate{{PerSecond: perSecond, Overage: 1}, {perSecond, 0, 0}, {perSecond, 1e9, 1e9}} {
			for _, members := range []int{1, 320} {
				test.Between(t, 1, r.allowance(members, 1), maxAllowance)
			}
			test.GreaterEq(t, minWindow, r.window())
		}
	}
	n := newNode(0, 0)
	n.settle(addresses(1), 1)
	n.cold.Assume(coldKey, Rate{}, time.Minute, n.at(0))
	test.True(t, n.cold.IsCold(coldKey, n.at(0)))
	for range 1000 {
		must.True(t, n.cold.Take(coldKey, &n.view, n.at(0)), must.Sprint("no bound is stated"))
	}
}

func TestColdTimes(t *testing.T) {
	var c Cold
	at := func(s float64) time.Time { return time.Unix(9, 0).Add(time.Duration(s * float64(time.Second))) }
	test.False(t, c.RecordStated(coldKey, stated, 0, at(0)))
	test.Eq(t, 0, c.Len(), test.Sprint("it states that it is warm, as most do"))
	test.True(t, c.RecordStated(coldKey, stated, 3*time.Second, at(0)))
	test.False(t, c.RecordStated(coldKey, stated, 2*time.Second, at(1.5)), test.Sprint("the time starts anew"))
	test.Eq(t, 500*time.Millisecond, c.Left(coldKey, at(3)))
	test.False(t, c.RecordStated(coldKey, stated, 0, at(3.1)))
	test.False(t, c.IsCold(coldKey, at(3.2)), test.Sprint("it states that it is warm"))
	test.True(t, c.Assume(coldKey, stated, 3*time.Second, at(5)))
	c.RecordStated(coldKey, stated, 0, at(5.1))
	test.True(t, c.IsCold(coldKey, at(7.9)), test.Sprint("a record of before the return ends nothing"))
	c.RecordStated(coldKey, stated, 5*time.Second, at(6))
	test.True(t, c.IsCold(coldKey, at(10.9)), test.Sprint("a record says longer"))
	test.SliceEmpty(t, c.Expire(at(10.9), func(quota.Key) bool { return true }))
	test.SliceLen(t, 1, c.Expire(at(11), func(quota.Key) bool { return true }))
	test.Eq(t, 0, c.Len())
}

// Guards against the part of a member that is gone being used twice in a second: by that member,
// and by the one that has it next.
func TestPartsThatRiseCountAfterAWindow(t *testing.T) {
	n := newNode(0, 0)
	n.settle(addresses(300), 300)
	k := coldKey
	for n.view.rank(k, &rankCache{}) < 16 {
		k.Endpoint += "e"
	}
	n.cold.RecordStated(k, stated, time.Minute, n.at(0))
	take := func(now time.Duration) bool { return n.cold.Take(k, &n.view, n.at(now)) }
	test.False(t, take(0))
	wait, ok := n.cold.Wait(k, &n.view, n.at(0))
	test.False(t, ok, test.Sprint("others have all of it"))
	test.Between(t, 1, wait, 100*time.Millisecond)
	n.settle(addresses(2), 2)
	test.False(t, take(2*time.Second), test.Sprint("the one that had it may have just used it"))
	test.False(t, take(2*time.Second+minWindow-1))
	test.True(t, take(2*time.Second+minWindow))
	test.True(t, n.cold.Sent(k, n.at(2*time.Second+minWindow), n.at(2*time.Second+minWindow)))
	n.settle(addresses(300), 300)
	test.False(t, take(10*time.Second), test.Sprint("a part that falls does so at once"))
}
