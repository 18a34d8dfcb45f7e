package place

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// testEngine has the speeds of the users' engines.
var testEngine = &topol.Engine{
	Slots: 16, Memory: 315_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
	StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850, PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
}

// scene returns a scene of n engines that are named a, b, c and so on.
func scene(n int, ws ...works.Request) Scene {
	s := Scene{
		Now: time.Unix(1000, 0), Engine: testEngine, Works: ws,
		Avoid: none, Suspect: none, Random: func() float64 { return 0 },
	}
	for i := range n {
		s.Endpoints = append(s.Endpoints, &topol.Endpoint{Name: ident.EndpointName(rune('a' + i)), Slots: 16, DataCentre: "x"})
	}
	return s
}

func none(ident.EndpointName) bool { return false }

// work is a prompt that was sent some time ago.
func work(first ident.EndpointName, prompt ident.Tokens, age time.Duration, helpers ...ident.EndpointName) works.Request {
	return works.Request{First: first, Prompt: prompt, Share: prompt, Gap: 250 * time.Millisecond, Helpers: helpers, Since: time.Unix(1000, 0).Add(-age)}
}

func TestBacklogShrinksWithTime(t *testing.T) {
	// A prompt of 177k tokens takes a second to read, and its pairs 2.9 s.
	cases := []struct {
		name string
		ws   []works.Request
		want time.Duration
	}{
		{"just sent", []works.Request{work("a", 17_700, 0)}, 130 * time.Millisecond},
		{"half read", []works.Request{work("a", 17_700, 60*time.Millisecond, "b")}, 4 * time.Millisecond},
		{"read long ago with helpers", []works.Request{work("a", 17_700, time.Second, "b")}, 0},
		{"two in a row", []works.Request{work("a", 17_700, 50*time.Millisecond), work("a", 17_700, 0)}, 210 * time.Millisecond},
		{"one after an idle time", []works.Request{work("a", 17_700, time.Second, "b"), work("a", 17_700, 0)}, 130 * time.Millisecond},
		{"writing", []works.Request{{First: "a", Prompt: 17_700, Writing: true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := views(scene(2, c.ws...))[0]
			test.Between(t, c.want-10*time.Millisecond, v.backlog, c.want+10*time.Millisecond)
		})
	}
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	s := scene(3, work("a", 0, 0), work("a", 0, 0), work("b", 0, 0), work("b", 0, 0))
	s.Engine = nil
	c, err := Choose(s, Request{DataCentre: "x"})
	must.NoError(t, err)
	test.Eq(t, "c", c.First.Name)
	c, err = Choose(s, Request{DataCentre: "x", Tried: ident.SetOf[ident.EndpointName]("c")})
	must.NoError(t, err)
	test.NotEq(t, "c", c.First.Name)
	s.Endpoints[0].Leaving, s.Endpoints[1].Leaving, s.Endpoints[2].Leaving = true, true, true
	_, err = Choose(s, Request{})
	test.ErrorIs(t, err, ErrNone)
}
