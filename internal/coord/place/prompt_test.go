package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Requests like the short and the long ones of the users' workload in package
// passes.
var (
	shortRequest = Request{Prompt: 5_000, Output: 1_500, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	longRequest  = Request{Prompt: 154_000, Output: 800, Target: 3 * time.Second, Gap: time.Second, TimeLeft: 15 * time.Second}
)

func TestIdleFleetsOfAnySizeAcceptLongPrompts(t *testing.T) {
	for _, engines := range []int{1, 2, 3, 8, 23} {
		c, err := Choose(testState(engines), longRequest)
		must.NoError(t, err, must.Sprint(engines))
		test.LessEq(t, engines-1, len(c.Helpers), test.Sprint(engines))
	}
}

func TestLongPromptsUseManyHelpers(t *testing.T) {
	c, err := Choose(testState(23), longRequest)
	must.NoError(t, err)
	test.Greater(t, 10, len(c.Helpers))
	test.Less(t, 500*time.Millisecond, c.Estimate)
	seen := ident.SetOf(c.Primary.Name)
	for _, h := range c.Helpers {
		test.False(t, seen.Has(h.Name), test.Sprint("engine has more than one part"))
		seen.Add(h.Name)
	}
}

func TestShortPromptsShareEngines(t *testing.T) {
	var ws []works.Request
	s := testState(23)
	for range 10 {
		s.InFlight = ws
		c, err := Choose(s, shortRequest)
		must.NoError(t, err)
		ws = append(ws, works.Request{First: c.Primary.Name, Prompt: shortRequest.Prompt, Share: shortRequest.Prompt, Gap: shortRequest.Gap, Writing: true})
	}
	primaries := ident.Set[ident.EndpointName]{}
	for _, w := range ws {
		primaries.Add(w.First)
	}
	test.LessEq(t, 2, len(primaries))
}

// Guards against nodes that start together, none of which knows the requests of the others,
// and all of which send their short prompts to the same engine.
func TestNodesWithUnknownLoadSpreadShortPrompts(t *testing.T) {
	const nodes = 40
	s := testState(40)
	s.UnknownLoad = true
	s.Random = rand.New(rand.NewPCG(1, 1)).Float64
	count := map[ident.EndpointName]int{}
	for range nodes {
		c, err := Choose(s, shortRequest)
		must.NoError(t, err)
		count[c.Primary.Name]++
	}
	for n, c := range count {
		test.LessEq(t, s.Engine.Slots, c, test.Sprint(n))
	}
	test.Greater(t, nodes/3, len(count))
}

// Guards against long prompts without helpers after a start, because the engines count as
// those of the interactive pool.
func TestLongPromptsUseHelpersWithUnknownLoad(t *testing.T) {
	s := testState(23)
	s.UnknownLoad = true
	s.Random = rand.New(rand.NewPCG(1, 1)).Float64
	c, err := Choose(s, longRequest)
	must.NoError(t, err)
	test.Greater(t, 10, len(c.Helpers))
}

func TestLongPromptsStayOutOfTheInteractivePool(t *testing.T) {
	var ws []works.Request
	for range 8 {
		ws = append(ws, works.Request{First: "a", Prompt: 5000, Share: 5000, Gap: 250 * time.Millisecond, Writing: true})
	}
	c, err := Choose(testState(8, ws...), longRequest)
	must.NoError(t, err)
	test.NotEq(t, "a", c.Primary.Name)
	for _, h := range c.Helpers {
		test.NotEq(t, "a", h.Name)
	}
}

func TestPromptsAreDeferredOnlyUnderLoad(t *testing.T) {
	// All engines have 2.5 s of prefill queued.
	var ws []works.Request
	s := testState(6)
	for _, e := range s.Endpoints {
		ws = append(ws, works.Request{First: e.Name, Prompt: 135_000, Share: 135_000, Gap: time.Second, Since: s.Now})
	}
	s.InFlight = ws
	c, err := Choose(s, longRequest)
	test.ErrorIs(t, err, ErrDeferred)
	after := RetryAfter(c, longRequest)
	test.Between(t, minRetryAfter, after, longRequest.TimeLeft/retryAfterDivisor)

	// On an idle fleet, the retry is accepted.
	retry := longRequest
	retry.IsRetry, retry.TimeLeft = true, 12*time.Second
	s.InFlight = nil
	_, err = Choose(s, retry)
	test.NoError(t, err)
	// Interactive requests are not deferred, unless their prompt is long.
	s.InFlight = ws
	_, err = Choose(s, shortRequest)
	test.NoError(t, err)
	long := shortRequest
	long.Prompt = 290_000
	_, err = Choose(s, long)
	test.ErrorIs(t, err, ErrDeferred)
}

func TestChooseRejects(t *testing.T) {
	full := func(n int) []works.Request {
		var ws []works.Request
		for _, e := range testState(n).Endpoints {
			for range testEngine.Slots {
				ws = append(ws, works.Request{First: e.Name, Prompt: 2000, Share: 2000, Gap: shortRequest.Gap, Writing: true})
			}
		}
		return ws
	}
	huge := longRequest
	huge.Prompt = 700_000
	cases := []struct {
		name string
		s    ServiceState
		r    Request
		want error
	}{
		{"no engine", testState(0), shortRequest, ErrNoEndpoint},
		{"all slots taken", testState(3, full(3)...), shortRequest, ErrFull},
		{"prompt exceeds the memory", testState(2), huge, ErrTooLarge},
	}
	for _, c := range cases {
		_, err := Choose(c.s, c.r)
		test.ErrorIs(t, err, c.want, test.Sprint(c.name))
	}
}

func TestReservationsFitTheEngines(t *testing.T) {
	large := longRequest
	large.Prompt = 400_000
	c, err := Choose(testState(23), large)
	must.NoError(t, err)
	must.SliceNotEmpty(t, c.Reservations)
	test.LessEq(t, len(c.Helpers), len(c.Reservations))
	rest := large.Prompt
	for _, h := range c.Reservations {
		test.LessEq(t, testEngine.Memory/maxPieceDivisor, h)
		rest -= h
	}
	test.LessEq(t, testEngine.Memory/maxPieceDivisor, rest)
	test.LessEq(t, maxHelpers, len(c.Helpers))
}

func TestSuspectsDoNotHelp(t *testing.T) {
	s := testState(10)
	s.Suspect = func(n ident.EndpointName) bool { return n == "d" }
	s.Avoid = func(n ident.EndpointName) bool { return n == "e" }
	c, err := Choose(s, longRequest)
	must.NoError(t, err)
	test.NotEq(t, "e", c.Primary.Name)
	for _, h := range c.Helpers {
		test.NotEq(t, "d", h.Name)
		test.NotEq(t, "e", h.Name)
	}
}

// Load pattern: long prompts are queued at all engines. Guards against admission by
// size: the load at which a retry is deferred must not depend much on the prompt.
func TestPromptsOfAllSizesAreDeferredAtAboutTheSameLoad(t *testing.T) {
	const engines = 78
	deferredFrom := func(prompt ident.Tokens) int {
		r := longRequest
		r.Prompt, r.IsRetry, r.Target = prompt, true, 4*time.Second
		s := testState(engines)
		for n := 1; ; n++ {
			first := n % engines
			var helpers []ident.EndpointName
			for i := range maxHelpers {
				helpers = append(helpers, s.Endpoints[(first+1+i)%engines].Name)
			}
			s.InFlight = append(s.InFlight, works.Request{
				First: s.Endpoints[first].Name, Prompt: 220_000, Gap: time.Second, Target: 4 * time.Second, Helpers: helpers, Since: s.Now,
			})
			if _, err := Choose(s, r); err != nil {
				return n
			}
		}
	}
	least, most := math.MaxInt, 0
	for _, prompt := range []ident.Tokens{100_000, 150_000, 220_000, 300_000, 400_000, 600_000} {
		n := deferredFrom(prompt)
		t.Log(prompt, n)
		least, most = min(least, n), max(most, n)
	}
	test.LessEq(t, 2*least, most)
}

// Guards against callers who are told to come back with a prompt that can never be
// placed: each engine outside the interactive pool holds at most one piece of it.
func TestPromptsBeyondTheEnginesAreTooLarge(t *testing.T) {
	cases := []struct {
		engines int
		prompt  ident.Tokens
		want    error
	}{
		{78, 1_700_000, nil},
		{78, 1_800_000, ErrTooLarge},
		{4, 310_000, nil},
		{4, 320_000, ErrTooLarge},
		{1, 310_000, ErrTooLarge},
		{0, 310_000, ErrNoEndpoint},
	}
	for _, c := range cases {
		r := longRequest
		r.Prompt, r.TimeLeft = c.prompt, time.Hour
		_, err := Choose(testState(c.engines), r)
		test.ErrorIs(t, err, c.want, test.Sprint(c.engines, c.prompt))
	}
}
