package vqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/pkg/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engines is the number of engines in tests; their least rate is five.
const engines = 20

// idle is the load of a prompt that can be in time if it returns soon.
var idle = Load{Engines: engines, Estimate: 200 * time.Millisecond, Target: 3 * time.Second, TimeLeft: 15 * time.Second}

func prompt(key int, w string) Prompt {
	return Prompt{Request: bysize.RequestKey(key), Workspace: ident.WorkspaceName(w), Work: 4 * time.Second}
}

// deferred defers n prompts of a workspace as they arrive now, and returns the last time.
func deferred(q *Queue, firstKey, n int, w string) (last time.Duration) {
	for i := range n {
		p := prompt(firstKey+i, w)
		wait, servable := q.RetryTime(p, idle, start)
		if servable {
			q.Defer(p, start, wait, start)
		}
		last = wait
	}
	return last
}

// Guards against callers who all come back after the minimum, whatever is deferred.
func TestRetryTimesGrowWithTheWorkDeferred(t *testing.T) {
	var q Queue
	test.Eq(t, minRetry, deferred(&q, 1, 1, "a"))
	test.Greater(t, minRetry, deferred(&q, 2, 4, "a"))
}

// Guards against a small workspace that waits for what a greedy one has deferred.
func TestSmallWorkspaceDoesNotWaitBehindAGreedyOne(t *testing.T) {
	var q Queue
	greedy := deferred(&q, 1, 20, "greedy")
	test.GreaterEq(t, 5*time.Second, greedy)
	small := deferred(&q, 100, 1, "small")
	test.Eq(t, minRetry, small)
}

// Guards against a workspace whose prompts were just admitted and which is treated like one
// that got nothing.
func TestWhatAWorkspaceGotCounts(t *testing.T) {
	var q Queue
	deferred(&q, 1, 3, "a")
	for i := range 4 {
		q.Admit(prompt(50+i, "b"), start, start)
	}
	fresh := q.workAhead(prompt(100, "c"))
	test.Eq(t, 4*time.Second, fresh)
	test.Eq(t, 12*time.Second, q.workAhead(prompt(100, "b")))
}

func TestOwnEntryIsNotAhead(t *testing.T) {
	var q Queue
	p := prompt(1, "a")
	q.Defer(p, start, time.Second, start)
	test.Zero(t, q.workAhead(p))
	test.Eq(t, 4*time.Second, q.workAhead(prompt(2, "a")))
}

// Guards against callers who return in vain: a caller that can't be served is told so at once.
func TestCallerWhoCannotBeServedIsToldATimeAfterItsDeadline(t *testing.T) {
	cases := []struct {
		name string
		load Load
		want bool
	}{
		{"enough time", idle, true},
		{"long estimate", Load{Engines: engines, Estimate: 10 * time.Second, Target: 3 * time.Second, TimeLeft: 15 * time.Second}, false},
		{"little time left", Load{Engines: engines, Estimate: time.Second, Target: time.Millisecond, TimeLeft: 2 * time.Second}, false},
		{"no deadline", Load{Engines: engines, Estimate: 10 * time.Second, Target: 3 * time.Second}, true},
	}
	for _, c := range cases {
		var q Queue
		wait, servable := q.RetryTime(prompt(1, "a"), c.load, start)
		test.Eq(t, c.want, servable, test.Sprint(c.name))
		if !servable {
			test.GreaterEq(t, c.load.TimeLeft, wait, test.Sprint(c.name))
		}
	}
}

// Guards against late prompts that come back while the burst lasts and take time from
// those that can be in time.
func TestLatePromptsReturnLater(t *testing.T) {
	var q Queue
	late := idle
	late.Target = time.Millisecond
	wait, servable := q.RetryTime(prompt(1, "a"), late, start)
	test.True(t, servable)
	test.Eq(t, late.TimeLeft/lateDivisor, wait)
}

// Guards against the largest prompts, which take longest themselves and would always wait
// behind smaller ones, and against a size class that is ahead and gets all early times.
func TestSizeClassesGetTheirPart(t *testing.T) {
	var q Queue
	deferred(&q, 1, 2, "a")
	behind, ahead, late := idle, idle, idle
	behind.Estimate, behind.Favour = 2500*time.Millisecond, 2
	late.Estimate = behind.Estimate
	ahead.Favour = 0.1
	p := prompt(100, "a")
	neutral, _ := q.RetryTime(p, idle, start)
	first, _ := q.RetryTime(p, behind, start)
	test.Eq(t, neutral, first)
	second, _ := q.RetryTime(p, late, start)
	test.Greater(t, 2*first, second, test.Sprint("late, class not behind"))
	third, _ := q.RetryTime(p, ahead, start)
	test.Greater(t, 2*first, third, test.Sprint("class ahead"))
}

func TestPlaces(t *testing.T) {
	cases := []struct {
		after time.Duration
		want  Place
	}{
		{0, EarlyPlace},
		{time.Second - earlyMargin - 1, EarlyPlace},
		{time.Second - earlyMargin, KeptPlace},
		{time.Second, KeptPlace},
		{time.Second + minHold - 1, KeptPlace},
		{time.Second + minHold, NoPlace},
	}
	for _, c := range cases {
		var q Queue
		q.Defer(prompt(1, "a"), start, time.Second, start)
		test.Eq(t, c.want, q.Find(1, start.Add(c.after)), test.Sprint(c.after))
		test.Eq(t, NoPlace, q.Find(2, start.Add(c.after)), test.Sprint(c.after))
	}
}

// A caller may add as much again to the time that it was told.
func TestLongWaitsAreHeldLonger(t *testing.T) {
	var q Queue
	q.Defer(prompt(1, "a"), start, 5*time.Second, start)
	test.Eq(t, KeptPlace, q.Find(1, start.Add(10*time.Second-1)))
	test.Eq(t, NoPlace, q.Find(1, start.Add(10*time.Second)))
}

// Messages arrive late, twice and in any order: the latest decision holds.
func TestLatestDecisionHolds(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	now := at(1000)
	var q Queue
	q.Admit(prompt(1, "a"), at(500), now)
	q.Defer(prompt(1, "a"), at(400), time.Second, now)
	test.Eq(t, 0, q.Len(), test.Sprint("deferred before it was admitted"))
	q.Admit(prompt(1, "a"), at(500), now)
	test.Eq(t, 4*time.Second, q.admittedWork, test.Sprint("admitted twice"))
	q.Defer(prompt(2, "a"), at(600), time.Second, now)
	q.Defer(prompt(2, "a"), at(600), time.Second, now)
	q.Defer(prompt(2, "a"), at(300), 9*time.Second, now)
	test.Eq(t, 1, q.Len())
	test.Eq(t, KeptPlace, q.Find(2, at(1500)))
	q.Drop(2, at(550), now)
	test.Eq(t, 1, q.Len(), test.Sprint("dropped before it was deferred"))
	q.Drop(2, at(650), now)
	test.Eq(t, 0, q.Len())
}

// Guards against memory that grows with the load, and against a greedy workspace that leaves
// no room for others: the entries that end last are dropped.
func TestEntriesAreBounded(t *testing.T) {
	var q Queue
	for i := range 2 * maxEntries {
		q.Defer(prompt(i+1, "greedy"), start, time.Second+time.Duration(i)*time.Millisecond, start)
	}
	test.Eq(t, maxEntries, q.Len())
	q.Defer(prompt(9_999, "small"), start, minRetry, start)
	test.Eq(t, maxEntries, q.Len())
	test.Eq(t, EarlyPlace, q.Find(9_999, start))
	for i := range 2 * maxAdmissions {
		q.Admit(prompt(20_000+i, "a"), start, start)
	}
	test.SliceLen(t, maxAdmissions, q.admissions)
	later := start.Add(time.Hour)
	q.Expire(later)
	test.True(t, q.IsEmpty())
	test.MapEmpty(t, q.accounts)
	test.MapEmpty(t, q.byRequest)
	test.MapEmpty(t, q.admittedAt)
}

func TestDueShare(t *testing.T) {
	var q Queue
	// The least rate is five engines, so one prompt takes four fifths of a second.
	q.Defer(prompt(1, "a"), start, time.Second, start)
	cases := []struct {
		after time.Duration
		want  float64
	}{
		{0, 0},
		{time.Second - earlyMargin, 0.8},
		{time.Second, 0.8},
		{time.Second + minHold, 0},
	}
	for _, c := range cases {
		test.InDelta(t, c.want, q.DueShare(engines, start.Add(c.after)), 1e-9, test.Sprint(c.after))
	}
}

// Whatever decisions arrive in whatever order, lost, late or twice, and whatever a node that has
// just started misses of them: retry times are within bounds, entries are bounded in number and
// age, and with nobody due, first tries are treated as if there were no queue.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		var q Queue
		var sent []message
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				// The node restarts.
				q = Queue{}
			case 1, 2, 3:
				// A message arrives late or again.
				if len(sent) > 0 {
					deliverMessage(&q, sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "message")], now)
				}
			default:
				p := Prompt{
					Request: bysize.RequestKey(rapid.IntRange(0, 12).Draw(rt, "key")), Workspace: ident.WorkspaceName(fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "workspace"))),
					Work: time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "work")) * time.Millisecond,
				}
				l := Load{
					Engines: rapid.IntRange(0, 100).Draw(rt, "engines"), Estimate: time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "estimate")) * time.Millisecond,
					Target: 3 * time.Second, TimeLeft: time.Duration(rapid.IntRange(-1, 15_000).Draw(rt, "left")) * time.Millisecond,
				}
				wait, servable := q.RetryTime(p, l, now)
				if wait < minRetry || wait > maxWait || !servable && wait < l.TimeLeft {
					rt.Fatalf("told %v, servable %v", wait, servable)
				}
				if servable && l.TimeLeft > 0 && wait+l.Estimate > l.TimeLeft {
					rt.Fatalf("told %v with %v left", wait, l.TimeLeft)
				}
				m := message{p: p, at: now.Add(-time.Duration(rapid.IntRange(-100, 2000).Draw(rt, "age")) * time.Millisecond), wait: wait, kind: rapid.IntRange(0, 2).Draw(rt, "kind")}
				sent = append(sent, m)
				if rapid.Bool().Draw(rt, "arrives") {
					deliverMessage(&q, m, now)
				}
			}
			q.Expire(now)
			checkQueue(rt, &q, now)
		}
		q.Expire(now.Add(3 * maxWait))
		if !q.IsEmpty() || len(q.accounts)+len(q.byRequest)+len(q.admittedAt) > 0 {
			rt.Fatal("entries stay for ever")
		}
	})
}

// message is a decision as nodes tell each other of it: the prompt was admitted, deferred, or
// rejected without a place.
type message struct {
	p    Prompt
	at   time.Time
	wait time.Duration
	kind int
}

func deliverMessage(q *Queue, m message, now time.Time) {
	switch m.kind {
	case 0:
		q.Admit(m.p, m.at, now)
	case 1:
		q.Defer(m.p, m.at, m.wait, now)
	default:
		q.Drop(m.p.Request, m.at, now)
	}
}

// checkQueue checks the sums, and that nobody yields unless an entry is due.
func checkQueue(rt *rapid.T, q *Queue, now time.Time) {
	waiting, got := map[ident.WorkspaceName]time.Duration{}, map[ident.WorkspaceName]time.Duration{}
	isDue := false
	for i, e := range q.entries {
		waiting[e.Workspace] += e.Work
		isDue = isDue || q.Find(e.Request, now) == KeptPlace
		if q.byRequest[e.Request] != e || e.Request == 0 || e.end.Sub(now) > 2*maxWait || !e.end.After(now) {
			rt.Fatalf("entry %+v", e)
		}
		if i > 0 && e.end.Before(q.entries[i-1].end) {
			rt.Fatal("not sorted")
		}
	}
	var sum time.Duration
	for _, a := range q.admissions {
		got[a.Workspace] += a.Work
		sum += a.Work
		if now.Sub(a.at) > rateWindow || a.at.After(now) {
			rt.Fatalf("admission %+v", a)
		}
	}
	if len(q.byRequest) != len(q.entries) || sum != q.admittedWork {
		rt.Fatal("sums differ")
	}
	for n, a := range q.accounts {
		if a.waiting != waiting[n] || a.got != got[n] {
			rt.Fatalf("account %v %+v", n, a)
		}
	}
	share := q.DueShare(engines, now)
	if share < 0 || share > 1 || !isDue && share > 0 {
		rt.Fatalf("share %v", share)
	}
}

// Load: a burst at the largest scale. Each decision of another node is recorded, and each of
// this node's computes a retry time and a share.
func BenchmarkDecisions(b *testing.B) {
	var q Queue
	for i := range maxEntries {
		q.Defer(Prompt{Request: bysize.RequestKey(i + 1), Workspace: ident.WorkspaceName(fmt.Sprint(i)), Work: time.Second}, start, 10*time.Second+time.Duration(i%977)*time.Millisecond, start)
	}
	for i := range maxAdmissions {
		q.Admit(prompt(20_000+i, "b"), start, start)
	}
	b.Run("retry time", func(b *testing.B) {
		for range b.N {
			q.RetryTime(prompt(9_999, "a"), idle, start)
		}
	})
	b.Run("admit", func(b *testing.B) {
		for i := range b.N {
			at := start.Add(time.Duration(i))
			q.Admit(prompt(100_000+i, "b"), at, at)
		}
	})
	b.Run("defer", func(b *testing.B) {
		for i := range b.N {
			p := prompt(i%maxEntries+1, "a")
			q.Defer(p, start.Add(time.Duration(i)), 10*time.Second, start.Add(time.Duration(i)))
		}
	})
	b.Run("due share", func(b *testing.B) {
		for range b.N {
			q.DueShare(engines, start.Add(10*time.Second))
		}
	})
}
