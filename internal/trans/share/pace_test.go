package share

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
)

// Guards against nodes that share the requests to a cold endpoint with others and disagree on them:
// all know the same members, one that has just fallen silent too.
func TestMembersThatShareAPaceAreTheSameAtAllNodes(t *testing.T) {
	alone := startNode(t, "z1")
	ms := alone.PaceMembers(time.Now())
	test.False(t, ms.IsInformed)
	test.SliceLen(t, 1, ms.Known)
	ns := start(t, "a1", "a2", "a3", "b1", "b2")
	want := ns[0].PaceMembers(time.Now()).Known
	slices.Sort(want)
	for i, n := range ns {
		if i == 4 {
			ns[0].stop()
			for len(n.aliveNodes(time.Now())) == len(ns) {
				n.Sweep(time.Now())
				time.Sleep(10 * time.Millisecond)
			}
		}
		ms := n.PaceMembers(time.Now())
		slices.Sort(ms.Known)
		test.Eq(t, want, ms.Known)
		test.True(t, ms.IsInformed)
		test.True(t, slices.Contains(ms.Known, ms.Self))
	}
	test.Less(t, len(ns), ns[4].PaceMembers(time.Now()).Alive)
}

// Guards against bounds of slow start that only the sending node raises: the first event and the end
// of a request reach the other nodes, in this order, also if they are told together.
func TestFirstEventsReachTheOtherNodes(t *testing.T) {
	ns := start(t, "a1", "b1")
	seen := make(chan works.Request, 4)
	ns[1].InFlight.Watch(func(w works.Request) { seen <- w }, func(w works.Request) { seen <- w })
	w := works.Request{ID: 5, Node: "a1", First: "e", Target: time.Second, Since: time.Now()}
	ns[0].AnnounceStart(w)
	ns[0].AnnounceDecoding(w.ID)
	ns[0].AnnounceEnd(w.ID)
	for range 2 {
		got := <-seen
		test.True(t, got.Writing)
		test.Eq(t, w.First, got.First)
		test.Eq(t, w.Target, got.Target)
		must.Less(t, 10*time.Second, time.Since(got.Since))
	}
}
