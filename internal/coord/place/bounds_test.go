package place

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// bounded returns a state in which the named engines have bounds.
func bounded(s ServiceState, bounds map[ident.EndpointName]int) ServiceState {
	s.MaxInFlight = func(n ident.EndpointName) int { return bounds[n] }
	s.IsForOthers = never
	return s
}

// Guards against answers that are late, and requests that are rejected, since bounds leave engines
// idle that would serve them in time, and against bounds that are lifted for no use.
func TestBoundsYieldToTheTarget(t *testing.T) {
	short := Request{Prompt: 5000, Output: 100, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	hopeless := short
	hopeless.Target = time.Millisecond
	large := short
	large.Output = 290_000
	busy := inFlight("b", 60_000, 0)
	full := busy
	full.Share = 300_000
	for _, c := range []struct {
		name          string
		r             Request
		at            []works.Request
		bound         int
		want          ident.EndpointName
		ignoresBounds bool
	}{
		{"within the bound", short, []works.Request{busy}, 1, "a", false},
		{"late within the bound", short, []works.Request{busy, inFlight("a", 100, time.Second)}, 1, "a", true},
		{"in time within the bound", short, []works.Request{inFlight("a", 100, time.Second)}, 1, "b", false},
		{"late anyway", hopeless, []works.Request{busy, inFlight("a", 100, time.Second)}, 1, "b", false},
		{"full within the bound", large, []works.Request{full, inFlight("a", 100, time.Second)}, 1, "a", true},
		{"no bound", short, []works.Request{busy, inFlight("a", 100, time.Second)}, 0, "a", false},
	} {
		s := testState(2, c.at...)
		if c.bound > 0 {
			s = bounded(s, map[ident.EndpointName]int{"a": c.bound})
		}
		got, ignoresBounds, err := ChooseWithinBounds(s, c.r)
		must.NoError(t, err, must.Sprint(c.name))
		test.Eq(t, c.want, got.Primary.Name, test.Sprint(c.name))
		test.Eq(t, c.ignoresBounds, ignoresBounds, test.Sprint(c.name))
	}
}

// Guards against bounds that drive interactive callers out of the interactive pool, where they
// wait for the prefill of long prompts: the pool grows by what its engines don't take.
func TestInteractivePoolGrowsByTheBounds(t *testing.T) {
	var ws []works.Request
	for range 18 {
		ws = append(ws, inFlight("a", 100, time.Second))
	}
	poolSize := func(s ServiceState) int {
		size := 0
		for _, v := range engineViews(s) {
			if v.interactive {
				size++
			}
		}
		return size
	}
	s := testState(10, ws...)
	test.Eq(t, 3, poolSize(s), test.Sprint("18 requests of 13 for each engine, and one engine more"))
	test.Eq(t, 6, poolSize(bounded(s, map[ident.EndpointName]int{"a": 3, "b": 3, "c": 3})))
	test.Eq(t, 3, poolSize(bounded(s, map[ident.EndpointName]int{"a": 15, "j": 1})))
	all := map[ident.EndpointName]int{}
	for _, e := range s.Endpoints {
		all[e.Name] = 1
	}
	test.Eq(t, maxPoolSize(10), poolSize(bounded(s, all)))
}
