package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/place"
)

// burstKinds are short, long and very long prompts at their usual rates.
var burstKinds = []promptKind{
	{rate: 42, tokens: 5000, events: 32, target: 300 * time.Millisecond, gap: 250 * time.Millisecond, left: 10 * time.Second},
	{rate: 2.7, tokens: 45_000, events: 19, target: 1500 * time.Millisecond, gap: 600 * time.Millisecond, left: 10 * time.Second},
	{rate: 1.1, tokens: 180_000, events: 16, target: 4 * time.Second, gap: time.Second, left: 15 * time.Second},
}

// burst is a load of short prompts with a factor on their rate from the 4th to the 8th second.
type burst struct {
	seed         uint64
	factor       float64
	hasSlowStart bool
	// third is the third of the engines that stops after two seconds, and is back at 4.5 s. They
	// are cold for the time cold.
	third int
	cold  time.Duration
}

// burstResult sums up bursts.
type burstResult struct {
	short, others engineResult
	// most is the largest number of prompts at an engine within 200 ms of its return, perSecond
	// that in any second at a cold engine.
	most, perSecond int
}

func (b *burstResult) add(l *engineLoad, es []*loadEngine, most int) {
	for i, r := range l.results {
		sum := &b.others
		if i == 0 {
			sum = &b.short
		}
		sum.asked, sum.served, sum.late = sum.asked+r.asked, sum.served+r.served, sum.late+r.late
		sum.rejected, sum.unbounded = sum.rejected+r.rejected, sum.unbounded+r.unbounded
	}
	b.most = max(b.most, most)
	for _, e := range es {
		b.perSecond = max(b.perSecond, busiestSecond(e.sentWhileCold))
	}
}

func (b burst) run(sum *burstResult) {
	l := newEngineLoad(b.seed, 25, 26)
	l.hasSlowStart, l.choose, l.coldFactor = b.hasSlowStart, place.ChooseWithinBounds, 1.5
	for i, k := range burstKinds {
		l.arrive(i, k, 0, 4*time.Second)
		inBurst := k
		if i == 0 {
			inBurst.rate *= b.factor
		}
		l.arrive(i, inBurst, 4*time.Second, 8*time.Second)
		l.arrive(i, k, 8*time.Second, 10*time.Second)
	}
	first := len(l.engines) * b.third / 3
	back := l.engines[first : first+len(l.engines)/3]
	l.run(2 * time.Second)
	l.stop(back, burstKinds)
	l.after(2500*time.Millisecond, func() { l.start(back, b.cold) })
	l.run(4700 * time.Millisecond)
	most := mostOfEngines(back)
	l.run(30 * time.Second)
	sum.add(l, back, most)
}

func mostOfEngines(es []*loadEngine) int {
	most := 0
	for _, e := range es {
		most = max(most, e.most)
	}
	return most
}

// sum returns the sum of the bursts with different thirds and seeds.
func (b burst) sum(seeds uint64) (sum burstResult) {
	for b.third = range 3 {
		for b.seed = range seeds {
			b.run(&sum)
		}
	}
	return sum
}

// Load: a third of the engines stops and returns cold and in slow start during a burst of 2.2 times
// the usual rate of short prompts. Slow start must not make more answers late or rejected than there
// are without it, which happens if bounds keep engines idle while the others are overloaded, or
// drive short prompts out of the interactive pool.
func TestSlowStartInABurstHarmsNobody(t *testing.T) {
	b := burst{factor: 2.2, cold: 3 * time.Second}
	without := b.sum(1)
	b.hasSlowStart = true
	with := b.sum(1)
	t.Logf("with %+v without %+v", with, without)
	test.LessEq(t, without.short.bad(), with.short.bad())
	test.LessEq(t, without.short.bad()+without.others.bad(), with.short.bad()+with.others.bad())
	test.LessEq(t, stated.Max(), with.perSecond, test.Sprint("the allowance"))
}

// Load: the same burst, and one of four times the usual rate, while the engines return without
// being cold, as after a lost link. Nothing but slow start holds back what all nodes send to the idle
// engines at once, also while it yields since the others are overloaded.
func TestSlowStartThatYieldsBoundsConcurrentRequests(t *testing.T) {
	for _, c := range []struct {
		factor float64
		most   int
	}{{2.2, 2 * FirstBound(12)}, {4, 12}} {
		b := burst{factor: c.factor}
		var with, without burstResult
		b.run(&without)
		b.hasSlowStart = true
		b.run(&with)
		t.Logf("factor %v: with %+v without %+v", c.factor, with, without)
		test.LessEq(t, c.most, with.most)
		test.Less(t, without.most, with.most)
		test.Positive(t, with.short.unbounded+with.others.unbounded, test.Sprint("it yields"))
	}
}
