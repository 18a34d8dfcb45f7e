package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against endpoints in slow start that get more than their bound by nodes which don't hear of
// each other's requests yet: the parts of all nodes add up to the bound.
func TestPartsOfSlowStartAddUpToTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 320).Draw(t, "nodes")
		slots := rapid.IntRange(2, 64).Draw(t, "slots")
		all := addresses(count)
		total := 0
		for i := range all {
			n := newNode(i, 0)
			n.settle(all, count)
			var s Slow
			must.True(t, s.Begin(coldKey, slots, FirstBound(slots), time.Minute, n.at(0)))
			for range slots + 1 {
				if _, ok := s.Take(coldKey, &n.view, false, n.at(0)); ok {
					total++
				}
			}
		}
		must.Eq(t, max(1, slots/firstDivisor), total)
	})
}

// Guards against a bound that leaves its range, so that an endpoint gets nothing or is never out of
// slow start, and against turns that are lost, whatever happens in which order.
func TestSlowStartEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(0, 0)
		n.settle(addresses(rapid.IntRange(1, 5).Draw(t, "nodes")), 1)
		slots := rapid.IntRange(2, 40).Draw(t, "slots")
		var s Slow
		var turns []*Turn
		s.Begin(coldKey, slots, FirstBound(slots), 10*time.Second, n.at(0))
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, 3e8).Draw(t, "pause"))
			sentAt := n.at(now - time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "age")))
			a := Answer{SentAt: sentAt, Target: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "target")), IsOfPeer: rapid.Bool().Draw(t, "peer")}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				s.Answered(coldKey, a, n.at(now))
			case 1:
				s.Failed(coldKey, sentAt, n.at(now))
			case 2:
				s.Unanswered(coldKey, a, n.at(now))
			case 3:
				s.MaySend(coldKey, rapid.IntRange(0, 50).Draw(t, "in flight"), &n.view, n.at(now))
			case 4:
				if turn, ok := s.Take(coldKey, &n.view, rapid.Bool().Draw(t, "only"), n.at(now)); ok && turn != nil {
					turns = append(turns, turn)
				}
			case 5:
				if len(turns) > 0 {
					s.Release(turns[0])
					turns = turns[1:]
				}
			default:
				if s.Len() == 0 {
					turns = nil
					s.Begin(coldKey, slots, FirstBound(slots), 10*time.Second, n.at(now))
				}
			}
			if bound, ok := s.Bound(coldKey, n.at(now)); ok {
				must.Between(t, 1, bound, slots-1)
			}
			must.GreaterEq(t, 0, s.Own(coldKey))
		}
		s.Expire(n.at(now+10*time.Second), func(quota.Key) bool { return true })
		test.Eq(t, 0, s.Len())
		turn, ok := s.Take(coldKey, &n.view, false, n.at(now))
		test.True(t, ok && turn == nil)
	})
}

func TestBoundFollowsTheAnswers(t *testing.T) {
	n := newNode(0, 0)
	n.settle(addresses(1), 1)
	ms := func(d int) time.Time { return n.at(time.Duration(d) * time.Millisecond) }
	var s Slow
	answer := func(sentAt, now int) Result {
		return s.Answered(coldKey, Answer{SentAt: ms(sentAt), Target: 300 * time.Millisecond}, ms(now))
	}
	bound := func() int { b, _ := s.Bound(coldKey, ms(0)); return b }
	test.False(t, s.Begin(coldKey, 1, 1, time.Minute, ms(0)), test.Sprint("there is nothing below one slot"))
	test.True(t, s.Begin(coldKey, 16, 4, time.Minute, ms(0)))
	for range 4 {
		test.Eq(t, Raised, answer(1, 100))
	}
	test.Eq(t, 8, bound(), test.Sprint("it doubles within a response time"))
	test.Eq(t, Lowered, answer(10, 400), test.Sprint("a late one"))
	test.Eq(t, Unchanged, answer(11, 401), test.Sprint("another one of that time"))
	test.Eq(t, 4, bound())
	test.Eq(t, Lowered, s.Failed(coldKey, ms(500), ms(510)))
	test.Eq(t, Unchanged, s.Unanswered(coldKey, Answer{SentAt: ms(600), Target: time.Second}, ms(700)))
	test.Eq(t, Lowered, s.Unanswered(coldKey, Answer{SentAt: ms(600), Target: 100 * time.Millisecond}, ms(800)))
	test.Eq(t, 1, bound())
	test.Eq(t, Unchanged, s.Failed(coldKey, ms(900), ms(910)), test.Sprint("one is the least"))
	test.Eq(t, Raised, s.Answered(coldKey, Answer{SentAt: ms(900), Target: time.Millisecond}, ms(1800)), test.Sprint("a request that had waited before has another target"))
	test.False(t, s.Begin(coldKey, 16, 4, time.Minute, ms(2000)), test.Sprint("it is in slow start"))
	test.Eq(t, 2, bound(), test.Sprint("beginning anew doesn't raise the bound"))
	for range 13 {
		test.Eq(t, Raised, answer(2000, 2100))
	}
	test.Eq(t, Ended, answer(2000, 2100))
	test.Eq(t, 0, s.Len())
}

// Guards against nodes that all take themselves for the first, since they have heard of no other.
func TestNodesThatKnowNobodyTakeFewTurns(t *testing.T) {
	turns := 0
	for i := range 75 {
		n := newNode(i, 0)
		n.view.Update(Members{Self: n.self, Known: []ident.NodeName{n.self}, Alive: 1}, n.at(0))
		var s Slow
		s.Begin(coldKey, 8, 2, time.Minute, n.at(0))
		if _, ok := s.Take(coldKey, &n.view, false, n.at(0)); ok {
			turns++
		}
	}
	t.Log(turns)
	test.LessEq(t, 10, turns)
}

func TestSlowTime(t *testing.T) {
	test.Eq(t, 12*time.Second, SlowTime(3*time.Second))
	test.Eq(t, minSlowTime, SlowTime(time.Millisecond))
	test.Eq(t, maxSlowTime, SlowTime(10*time.Minute))
}
