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

// testEngine is the same as UserEngine of package passes. Durations without a
// unit are in nanoseconds.
var testEngine = &topol.Engine{
	Slots: 16, Memory: 315_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
	StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850, PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
}

// testState returns a service of n engines named a, b, c and so on.
func testState(n int, ws ...works.Request) ServiceState {
	s := ServiceState{
		Now: time.Unix(1000, 0), Engine: testEngine, InFlight: ws,
		Avoid: never, Suspect: never, Random: func() float64 { return 0 },
	}
	for i := range n {
		s.Endpoints = append(s.Endpoints, &topol.Endpoint{Name: ident.EndpointName(rune('a' + i)), Slots: 16, DataCentre: "x"})
	}
	return s
}

func never(ident.EndpointName) bool { return false }

// inFlight returns a request whose prompt was sent age ago.
func inFlight(primary ident.EndpointName, prompt ident.Tokens, age time.Duration, helpers ...ident.EndpointName) works.Request {
	return works.Request{First: primary, Prompt: prompt, Share: prompt, Gap: 250 * time.Millisecond, Helpers: helpers, Since: time.Unix(1000, 0).Add(-age)}
}

func TestBacklogShrinksWithTime(t *testing.T) {
	// Prefill of 177k tokens takes one second plus 2.9 s for their attention
	// pairs.
	cases := []struct {
		name string
		ws   []works.Request
		want time.Duration
	}{
		{"just sent", []works.Request{inFlight("a", 17_700, 0)}, 130 * time.Millisecond},
		{"half prefilled", []works.Request{inFlight("a", 17_700, 60*time.Millisecond, "b")}, 4 * time.Millisecond},
		{"prefilled long ago with helpers", []works.Request{inFlight("a", 17_700, time.Second, "b")}, 0},
		{"two in a row", []works.Request{inFlight("a", 17_700, 50*time.Millisecond), inFlight("a", 17_700, 0)}, 210 * time.Millisecond},
		{"one after an idle time", []works.Request{inFlight("a", 17_700, time.Second, "b"), inFlight("a", 17_700, 0)}, 130 * time.Millisecond},
		{"decoding", []works.Request{{First: "a", Prompt: 17_700, Writing: true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := engineViews(testState(2, c.ws...))[0]
			test.Between(t, c.want-10*time.Millisecond, v.backlog, c.want+10*time.Millisecond)
		})
	}
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	s := testState(3, inFlight("a", 0, 0), inFlight("a", 0, 0), inFlight("b", 0, 0), inFlight("b", 0, 0))
	s.Engine = nil
	c, err := Choose(s, Request{DataCentre: "x"})
	must.NoError(t, err)
	test.Eq(t, "c", c.Primary.Name)
	c, err = Choose(s, Request{DataCentre: "x", Tried: ident.SetOf[ident.EndpointName]("c")})
	must.NoError(t, err)
	test.NotEq(t, "c", c.Primary.Name)
	s.Endpoints[0].Leaving, s.Endpoints[1].Leaving, s.Endpoints[2].Leaving = true, true, true
	_, err = Choose(s, Request{})
	test.ErrorIs(t, err, ErrNoEndpoint)
}
