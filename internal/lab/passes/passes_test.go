package passes

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
)

// play returns the results of a load by kind.
func playPhases(load float64, phases ...Phase) map[string]Result {
	c := UserDay(3)
	c.Phases = phases
	for i := range c.Kinds {
		c.Kinds[i].Rate *= load
	}
	rs := map[string]Result{}
	for _, r := range Run(c) {
		rs[r.Kind] = r
	}
	return rs
}

func TestReadingAloneTakesTheTimeOfItsTokensAndPairs(t *testing.T) {
	c := UserDay(1)
	c.Kinds = c.Kinds[2:]
	c.Kinds[0].Rate, c.Kinds[0].Spread = 0.05, 0
	c.Phases = []Phase{{For: 200 * time.Second, Rates: []float64{1}}}
	c.Choose = Alone
	r := Run(c)[0]
	must.Positive(t, r.InTime+r.LateFirst)
	// 154,000 tokens at 177 a ms, and 11,858 million pairs at 0.184 ms.
	test.Between(t, 3000*time.Millisecond, r.FirstMean, 3300*time.Millisecond)
}

// Load pattern: a burst of short prompts, 2.45 times the usual rate.
func TestShortPromptsInABurstAreInTime(t *testing.T) {
	rs := playPhases(1, Phase{For: 12 * time.Second, Rates: []float64{2.45, 0.5, 0.05}})
	test.Greater(t, 0.95, rs["5k"].Credit())
	test.Eq(t, 0, rs["5k"].Refused)
}

// Load pattern: a burst of long prompts, 2.8 times the usual rate, beside few
// short ones. Short ones must not wait behind long ones.
func TestLongPromptsDoNotStarveShortOnes(t *testing.T) {
	rs := playPhases(1, Phase{For: 12 * time.Second, Rates: []float64{0.35, 1.3, 2.8}})
	test.Greater(t, 0.78, rs["5k"].Credit())
	test.Greater(t, 0.85, rs["45k"].Credit())
	test.Greater(t, 0.6, rs["154k"].Credit())
}

// Load pattern: short prompts burst while the engines still read long ones.
func TestBurstAfterLongPrompts(t *testing.T) {
	rs := playPhases(1,
		Phase{For: 6 * time.Second, Rates: []float64{0.35, 1.3, 2.8}},
		Phase{For: 8 * time.Second, Rates: []float64{2.45, 0.5, 0.05}})
	test.Greater(t, 0.85, rs["5k"].Credit())
}

// Load pattern: a quarter more than the engines can carry, in bursts. Long
// prompts are asked to come back instead of making all of them late.
func TestOverloadKeepsMostAnswersInTime(t *testing.T) {
	day := UserDay(3)
	rs := playPhases(1.25, day.Phases...)
	test.Greater(t, 0.75, rs["5k"].Credit())
	test.Greater(t, 0.5, rs["154k"].Credit())
}

// Load pattern: bursts of long prompts on many engines without writers, which
// read the newest part first, decided by many nodes with late knowledge. Parts
// that wait must not wait ever longer.
func TestManyEnginesReadWhatWaits(t *testing.T) {
	day := LargeDay(1)
	day.Delay = 15 * time.Millisecond
	rs := Run(day)
	test.Greater(t, 0.93, rs[0].Credit())
	test.Greater(t, 0.9, rs[1].Credit())
	test.Greater(t, 0.68, rs[2].Credit())
}

// Placement must be better than the baseline for each kind.
func TestPlacementBeatsTheFewestRequests(t *testing.T) {
	placed := Run(UserDay(5))
	day := UserDay(5)
	day.Choose = Alone
	for i, r := range Run(day) {
		test.Greater(t, r.Credit(), placed[i].Credit(), test.Sprint(r.Kind))
	}
}

// Prompts over one engine's memory are held by several.
func TestPromptLargerThanAnEngineIsServed(t *testing.T) {
	c := UserDay(2)
	c.Kinds = c.Kinds[2:]
	c.Kinds[0].Tokens, c.Kinds[0].Max, c.Kinds[0].Spread, c.Kinds[0].Rate = 400_000, 400_000, 0, 0.1
	c.Phases = []Phase{{For: 60 * time.Second, Rates: []float64{1}}}
	r := Run(c)[0]
	must.Positive(t, r.Asked)
	test.Eq(t, r.Asked, r.InTime)
	c.Choose = func(s place.ServiceState, q place.Request) (place.Choice, error) {
		ch, err := place.Choose(s, q)
		held := ch.Reservations
		sum := q.Prompt
		for _, h := range held {
			sum -= h
		}
		test.LessEq(t, s.Engine.Memory, sum+q.Output, test.Sprint("what stays at the first fits there"))
		return ch, err
	}
	Run(c)
}
