package place

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// drawNumber draws a number of which some are at the ends of the range.
func drawNumber[N ~int | ~int64](t *rapid.T, label string) N {
	ends := []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, 1, 2, 3, 1000, 1 << 31, math.MaxInt64 - 1, math.MaxInt64}
	return N(rapid.OneOf(rapid.SampledFrom(ends), rapid.Int64Range(0, 1<<20)).Draw(t, label))
}

func drawOddEngine(t *rapid.T) *topol.Engine {
	return &topol.Engine{
		Slots: drawNumber[int](t, "slots"), Memory: drawNumber[ident.Tokens](t, "memory"),
		DecodeSteps: drawNumber[int](t, "steps"), PrefillChunk: drawNumber[ident.Tokens](t, "chunk"),
		StepTime: drawNumber[time.Duration](t, "step"), PerSequence: drawNumber[time.Duration](t, "per sequence"),
		PerThousandContext: drawNumber[time.Duration](t, "per context"), PrefillRate: max(1, rapid.Float64().Draw(t, "rate")),
		PerMillionPairs: drawNumber[time.Duration](t, "pairs"), HopDelay: drawNumber[time.Duration](t, "hop"),
	}
}

// Guards against processes that end by themselves: with an engine whose memory is
// configured as less than three tokens, each prompt ended the process.
func TestOddNumbersDoNotEndTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := ServiceState{
			Now: now, Engine: drawOddEngine(t), Random: func() float64 { return 0.5 },
			Avoid: func(ident.EndpointName) bool { return false }, Suspect: func(ident.EndpointName) bool { return false },
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "endpoints") {
			s.Endpoints = append(s.Endpoints, &topol.Endpoint{Name: ident.EndpointName(fmt.Sprint("e", i)), Slots: drawNumber[int](t, "endpoint slots")})
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "in flight") {
			s.InFlight = append(s.InFlight, works.Request{
				ID: works.ID(i), First: ident.EndpointName(fmt.Sprint("e", i)), Helpers: []ident.EndpointName{"e1", "e1", "none"},
				Prompt: drawNumber[ident.Tokens](t, "prompt in flight"), Output: drawNumber[ident.Tokens](t, "output in flight"), Share: drawNumber[ident.Tokens](t, "share"),
				Gap: drawNumber[time.Duration](t, "gap in flight"), Target: drawNumber[time.Duration](t, "target in flight"),
				Since: now.Add(-drawNumber[time.Duration](t, "age")), Writing: rapid.Bool().Draw(t, "writing"),
			})
		}
		r := Request{
			Prompt: drawNumber[ident.Tokens](t, "prompt"), Output: drawNumber[ident.Tokens](t, "output"),
			Target: drawNumber[time.Duration](t, "target"), Gap: drawNumber[time.Duration](t, "gap"), TimeLeft: drawNumber[time.Duration](t, "time left"),
		}
		c, err := Choose(s, r)
		if err == nil {
			must.NotNil(t, c.Primary)
		}
		must.Between(t, 0, RetryAfter(c, r), math.MaxInt64)
	})
}

// Guards against sound endpoints that get no requests beside odd ones.
func TestSoundEndpointsAreChosenBesideOddOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ServiceState{Now: time.Now(), Random: func() float64 { return 0.5 }, Avoid: func(ident.EndpointName) bool { return false }}
		s.Endpoints = []*topol.Endpoint{{Name: "sound", Slots: 4, DataCentre: "a"}}
		for i := range rapid.IntRange(1, 5).Draw(t, "odd") {
			s.Endpoints = append(s.Endpoints, &topol.Endpoint{Name: ident.EndpointName(fmt.Sprint("odd", i)), Slots: drawNumber[int](t, "slots"), DataCentre: "z"})
		}
		tried := ident.Set[ident.EndpointName]{}
		for range s.Endpoints {
			c, err := Choose(s, Request{DataCentre: "a", Tried: tried})
			must.NoError(t, err)
			tried.Add(c.Primary.Name)
		}
		must.True(t, tried.Has("sound"))
	})
}

// drawUpTo draws a number from zero to a bound, which is often drawn itself.
func drawUpTo[N ~int | ~int64](t *rapid.T, label string, bound N) N {
	return N(rapid.OneOf(rapid.Just(int64(bound)), rapid.Int64Range(0, int64(bound))).Draw(t, label))
}

// Guards against times that overflow, and with them prompts that count as answered
// before they were sent: the largest numbers of a valid configuration and of a caller.
func TestEstimatesOfLargeNumbersAreNotNegative(t *testing.T) {
	const (
		maxTokens ident.Tokens = 1e9
		maxTime                = time.Minute
	)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		e := &topol.Engine{
			Slots: 1 + drawUpTo(t, "slots", 1<<20), Memory: drawUpTo(t, "memory", ident.Tokens(1e12)), DecodeSteps: 1 + drawUpTo(t, "steps", 10_000),
			PrefillChunk: 1 + drawUpTo(t, "chunk", maxTokens), StepTime: drawUpTo(t, "step", maxTime), PerSequence: drawUpTo(t, "per sequence", maxTime),
			PerThousandContext: drawUpTo(t, "per context", maxTime), PrefillRate: rapid.Float64Range(1, 1e12).Draw(t, "rate"), PerMillionPairs: drawUpTo(t, "pairs", maxTime),
		}
		s := ServiceState{
			Now: now, Engine: e, Random: func() float64 { return 0.5 },
			Avoid: func(ident.EndpointName) bool { return false }, Suspect: func(ident.EndpointName) bool { return false },
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "endpoints") {
			s.Endpoints = append(s.Endpoints, &topol.Endpoint{Name: ident.EndpointName(fmt.Sprint("e", i)), Slots: 1})
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "in flight") {
			s.InFlight = append(s.InFlight, works.Request{
				ID: works.ID(i), First: ident.EndpointName(fmt.Sprint("e", i)), Helpers: []ident.EndpointName{"e1"},
				Prompt: drawUpTo(t, "prompt in flight", maxTokens), Share: drawUpTo(t, "share", maxTokens), Gap: time.Second, Since: now.Add(-time.Second), Writing: rapid.Bool().Draw(t, "writing"),
			})
		}
		r := Request{Prompt: 1 + drawUpTo(t, "prompt", maxTokens), Output: drawUpTo(t, "output", maxTokens), Target: time.Second, Gap: time.Second}
		c, err := Choose(s, r)
		must.GreaterEq(t, 0, c.Estimate)
		must.GreaterEq(t, 0, c.Load.Backlog)
		must.False(t, math.IsNaN(c.Load.LossOfOthers) || c.Load.LossOfOthers < 0)
		if err != nil {
			return
		}
		for _, n := range c.Reservations {
			must.Between(t, 1, n, usableMemory(e))
		}
	})
}
