package place

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against fairness between the sizes of a kind that interactive callers pay for: a
// prompt that is favoured may cost more, but only callers who tolerate pauses.
func TestFavouredPromptsSpareInteractiveCallers(t *testing.T) {
	const engines = 23
	decoding := func(gap time.Duration, each int) []works.Request {
		var ws []works.Request
		for _, e := range testState(engines).Endpoints {
			for range each {
				ws = append(ws, works.Request{First: e.Name, Prompt: 5_000, Share: 5_000, Gap: gap, Writing: true})
			}
		}
		return ws
	}
	r := longRequest
	r.Prompt, r.IsRetry = 230_000, false
	cases := []struct {
		name     string
		inFlight []works.Request
		favour   float64
		want     error
	}{
		{"tolerant callers", decoding(800*time.Millisecond, 14), 1, ErrDeferred},
		{"tolerant callers, favoured", decoding(800*time.Millisecond, 14), 50, nil},
		{"interactive callers", decoding(250*time.Millisecond, 12), 1, ErrDeferred},
		{"interactive callers, favoured", decoding(250*time.Millisecond, 12), 50, ErrDeferred},
	}
	for _, c := range cases {
		r.Favour = c.favour
		choice, err := Choose(testState(engines, c.inFlight...), r)
		test.ErrorIs(t, err, c.want, test.Sprint(c.name, choice.Load))
	}
}

// Guards against SHORT: what others may lose by a prompt, for each second of its prefill, falls with
// the time that it takes itself, although its size class is behind.
func TestBoundOfAClassBehindDoesNotFallWithTheSize(t *testing.T) {
	least, most := math.Inf(1), 0.0
	for _, prompt := range []ident.Tokens{400_000, 500_000, 600_000} {
		r := longRequest
		r.Prompt, r.Target, r.TimeLeft, r.IsRetry, r.Favour = prompt, time.Second, 12*time.Second, true, 1.01
		s := testState(78)
		c, err := Choose(s, r)
		must.NoError(t, err)
		v := engineView{spec: s.Engine}
		perSecond := c.Load.MaxLossOfOthers / v.prefillTime(split(prompt, 1)).Seconds()
		t.Log(prompt, perSecond)
		least, most = min(least, perSecond), max(most, perSecond)
	}
	test.LessEq(t, 1.1*least, most)
}

// Guards against SHORT: a size class that is ahead takes what interactive callers may lose, so
// that a class that is behind finds nothing left. A prompt that yields costs them less.
func TestClassAheadYieldsToAClassBehind(t *testing.T) {
	bounds := func(favour float64) (all, interactive float64) {
		r := longRequest
		r.Favour = favour
		c, err := Choose(testState(23), r)
		must.NoError(t, err)
		return c.Load.MaxLossOfOthers, c.Load.MaxInteractiveLoss
	}
	neutral, neutralInteractive := bounds(1)
	yielding, yieldingInteractive := bounds(0.5)
	test.InDelta(t, neutral/2, yielding, 1e-9)
	test.Less(t, neutralInteractive/2, yieldingInteractive)
}
