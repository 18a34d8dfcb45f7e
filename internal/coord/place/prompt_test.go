package place

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// The users' prompts.
var (
	short = Request{Prompt: 5_000, Output: 1_500, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Left: 10 * time.Second}
	long  = Request{Prompt: 154_000, Output: 800, Target: 3 * time.Second, Gap: time.Second, Left: 15 * time.Second}
)

func TestIdleFleetsOfAnySizeTakeLongPrompts(t *testing.T) {
	for _, engines := range []int{1, 2, 3, 8, 23} {
		c, err := Choose(scene(engines), long)
		must.NoError(t, err, must.Sprint(engines))
		test.LessEq(t, engines-1, len(c.Helpers), test.Sprint(engines))
	}
}

func TestLongPromptsAreReadByMany(t *testing.T) {
	c, err := Choose(scene(23), long)
	must.NoError(t, err)
	test.Greater(t, 10, len(c.Helpers))
	test.Less(t, 500*time.Millisecond, c.Estimate)
	seen := ident.SetOf(c.First.Name)
	for _, h := range c.Helpers {
		test.False(t, seen.Has(h.Name), test.Sprint("an engine has one part"))
		seen.Add(h.Name)
	}
}

func TestShortPromptsShareEngines(t *testing.T) {
	var ws []works.Request
	s := scene(23)
	for range 10 {
		s.Works = ws
		c, err := Choose(s, short)
		must.NoError(t, err)
		ws = append(ws, works.Request{First: c.First.Name, Prompt: short.Prompt, Share: short.Prompt, Gap: short.Gap, Writing: true})
	}
	firsts := ident.Set[ident.EndpointName]{}
	for _, w := range ws {
		firsts.Add(w.First)
	}
	test.LessEq(t, 2, len(firsts))
}

func TestLongPromptsStayOutOfTheLane(t *testing.T) {
	var ws []works.Request
	for range 8 {
		ws = append(ws, works.Request{First: "a", Prompt: 5000, Share: 5000, Gap: 250 * time.Millisecond, Writing: true})
	}
	c, err := Choose(scene(8, ws...), long)
	must.NoError(t, err)
	test.NotEq(t, "a", c.First.Name)
	for _, h := range c.Helpers {
		test.NotEq(t, "a", h.Name)
	}
}

func TestPromptsComeBackOnlyForLoad(t *testing.T) {
	// All engines have much to read: 2.5 s each.
	var ws []works.Request
	s := scene(6)
	for _, e := range s.Endpoints {
		ws = append(ws, works.Request{First: e.Name, Prompt: 135_000, Share: 135_000, Gap: time.Second, Since: s.Now})
	}
	s.Works = ws
	c, err := Choose(s, long)
	test.ErrorIs(t, err, ErrDeferred)
	after := ReturnAfter(c, long)
	test.Between(t, returnLeast, after, long.Left/returnPart)

	// A caller who has come back is taken, since nobody else is harmed.
	back := long
	back.Returned, back.Left = true, 12*time.Second
	s.Works = nil
	_, err = Choose(s, back)
	test.NoError(t, err)
	// Short prompts wait.
	s.Works = ws
	_, err = Choose(s, short)
	test.NoError(t, err)
}

func TestPlacementRefuses(t *testing.T) {
	full := func(n int) []works.Request {
		var ws []works.Request
		for _, e := range scene(n).Endpoints {
			for range testEngine.Slots {
				ws = append(ws, works.Request{First: e.Name, Prompt: 2000, Share: 2000, Gap: short.Gap, Writing: true})
			}
		}
		return ws
	}
	huge := long
	huge.Prompt = 700_000
	cases := []struct {
		name string
		s    Scene
		r    Request
		want error
	}{
		{"no engine", scene(0), short, ErrNone},
		{"all slots taken", scene(3, full(3)...), short, ErrFull},
		{"too large for the fleet", scene(2), huge, ErrCostly},
	}
	for _, c := range cases {
		_, err := Choose(c.s, c.r)
		test.ErrorIs(t, err, c.want, test.Sprint(c.name))
	}
}

func TestHeldPromptsFitWhereTheyAreHeld(t *testing.T) {
	held := long
	held.Prompt = 400_000
	c, err := Choose(scene(23), held)
	must.NoError(t, err)
	must.SliceNotEmpty(t, c.Held)
	test.LessEq(t, len(c.Helpers), len(c.Held))
	rest := held.Prompt
	for _, h := range c.Held {
		test.LessEq(t, testEngine.Memory/pieceParts, h)
		rest -= h
	}
	test.LessEq(t, testEngine.Memory/pieceParts, rest)
	test.LessEq(t, maxHelpers, len(c.Helpers))
}

func TestSuspectsDoNotHelp(t *testing.T) {
	s := scene(10)
	s.Suspect = func(n ident.EndpointName) bool { return n == "d" }
	s.Avoid = func(n ident.EndpointName) bool { return n == "e" }
	c, err := Choose(s, long)
	must.NoError(t, err)
	test.NotEq(t, "e", c.First.Name)
	for _, h := range c.Helpers {
		test.NotEq(t, "d", h.Name)
		test.NotEq(t, "e", h.Name)
	}
}
