package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// decoded returns a short request that is decoded, with the answer's events of one iteration each.
func decoded(primary ident.EndpointName, events int, age time.Duration) works.Request {
	w := inFlight(primary, 5_000, age)
	w.Output, w.Target, w.Writing = ident.Tokens(events*testEngine.DecodeSteps), shortRequest.Target, true
	return w
}

// queued returns a short request that has just been sent and is not decoded.
func queued(primary ident.EndpointName) works.Request {
	w := inFlight(primary, 5_000, 0)
	w.Output, w.Target = 1_500, shortRequest.Target
	return w
}

// fullState returns a service whose slots are all taken by requests whose answers have the given
// numbers of events, one number for each engine.
func fullState(events ...int) ServiceState {
	s := testState(len(events))
	for i, e := range s.Endpoints {
		for range testEngine.Slots {
			s.InFlight = append(s.InFlight, decoded(e.Name, events[i], 0))
		}
	}
	return s
}

// with returns a state with further requests in flight.
func (s ServiceState) with(ws ...works.Request) ServiceState {
	s.InFlight = append(s.InFlight, ws...)
	return s
}

// shortRetry is shortRequest after its caller was rejected.
var shortRetry = func() Request {
	r := shortRequest
	r.IsRetry, r.Target, r.TimeLeft = true, pastTarget, 9*time.Second
	return r
}()

// Load pattern: a burst of short prompts takes all slots. Guards against callers who are rejected
// again when they return although a slot is about to be free, and against requests that wait where
// they would delay others or get no slot in time.
func TestReturningPromptsWaitForTheNextSlot(t *testing.T) {
	is := func(name ident.EndpointName) func(ident.EndpointName) bool {
		return func(n ident.EndpointName) bool { return n == name }
	}
	change := func(s ServiceState, f func(*ServiceState)) ServiceState {
		f(&s)
		return s
	}
	retry := func(f func(*Request)) Request {
		r := shortRetry
		f(&r)
		return r
	}
	manyLate := func(n int) ServiceState {
		s := fullState(9, 3, 6, 9)
		for i := range n {
			s.InFlight[i].Target = pastTarget
		}
		return s
	}
	cases := []struct {
		name string
		s    ServiceState
		r    Request
		// want is the endpoint at which the request waits, empty if it is rejected.
		want ident.EndpointName
	}{
		{"soonest slot", fullState(9, 3, 6), shortRetry, "b"},
		{"first try", fullState(9, 3, 6), shortRequest, ""},
		{"deferrable", fullState(9, 3, 6), retry(func(r *Request) { r.Gap = tolerantGap }), ""},
		{"one waits", fullState(9, 3, 6).with(queued("b")), shortRetry, "b"},
		{"two wait", fullState(9, 3, 6).with(queued("b"), queued("b")), shortRetry, "c"},
		{"two wait everywhere", fullState(3, 3).with(queued("a"), queued("a"), queued("b"), queued("b")), shortRetry, ""},
		{"a slot ends much later at the soonest once one waits", change(fullState(9, 9, 6).with(queued("b")), func(s *ServiceState) { s.InFlight[16].Output = 51 }), shortRetry, "c"},
		{"avoided", change(fullState(9, 3, 6), func(s *ServiceState) { s.Avoid = is("b") }), shortRetry, "c"},
		{"slow start", change(fullState(9, 3, 6), func(s *ServiceState) { s.IsSlow = is("b") }), shortRetry, "c"},
		{"tried", fullState(9, 3, 6), retry(func(r *Request) { r.Tried = ident.SetOf[ident.EndpointName]("b") }), "c"},
		{"memory", fullState(9, 3, 6).with(works.Request{First: "x", Held: []works.Reservation{{Endpoint: "b", Tokens: 280_000}}}), shortRetry, "c"},
		{"memory everywhere", fullState(9), retry(func(r *Request) { r.Output = 280_000 }), ""},
		{"slots end late", fullState(60, 50), shortRetry, ""},
		{"no time left", fullState(9, 9), retry(func(r *Request) { r.TimeLeft = 400 * time.Millisecond }), ""},
		{"prefill would be a long pause for others", fullState(3), retry(func(r *Request) { r.Prompt = 24_000 }), ""},
		{"others returned late as well", manyLate(1), shortRetry, "b"},
		{"many returned late", manyLate(2), shortRetry, ""},
		{"slow start leaves a slot", change(fullState(9, 3, 6), func(s *ServiceState) {
			s.InFlight = s.InFlight[1:]
			s.IsSlow, s.IsForOthers = is("a"), is("a")
			s.MaxInFlight = func(n ident.EndpointName) int { return map[ident.EndpointName]int{"a": 1}[n] }
		}), shortRetry, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Choose(c.s, c.r)
			if c.want == "" {
				must.ErrorIs(t, err, ErrFull)
				must.False(t, got.Waits)
				return
			}
			must.NoError(t, err)
			must.True(t, got.Waits)
			must.Eq(t, c.want, got.Primary.Name)
			must.SliceEmpty(t, got.Helpers)
			must.Between(t, 1, got.Estimate, maxWaitEstimate)
		})
	}
}

// A free slot is always preferred to a wait.
func TestReturningPromptsTakeFreeSlots(t *testing.T) {
	s := fullState(3, 30)
	s.InFlight = s.InFlight[:len(s.InFlight)-1]
	c, err := Choose(s, shortRetry)
	must.NoError(t, err)
	test.False(t, c.Waits)
	test.Eq(t, "b", c.Primary.Name)
}

func TestTimeUntilASlotIsFree(t *testing.T) {
	const events = 10
	s := fullState(events)
	v := engineViews(s)[0]
	iteration := v.decodeTime()
	prefill := v.prefillTime(split(5_000, 1))
	whole := prefill + events*iteration
	change := func(f func(ws []works.Request)) []works.Request {
		ws := fullState(events).InFlight
		f(ws)
		return ws
	}
	aged := func(ages ...time.Duration) []works.Request {
		return change(func(ws []works.Request) {
			for i, a := range ages {
				ws[i].Since = s.Now.Add(-a)
			}
		})
	}
	cases := []struct {
		name string
		ws   []works.Request
		want time.Duration
	}{
		{"no requests", nil, 0},
		{"a free slot", aged()[1:], 0},
		{"all just sent", aged(), whole},
		{"one sent before", aged(200 * time.Millisecond), whole - 200*time.Millisecond},
		{"one that should have ended", aged(time.Minute), iteration},
		{"one from the future", aged(-time.Minute), whole},
		{"one waits", append(aged(200*time.Millisecond, 100*time.Millisecond), queued("a")), whole - 100*time.Millisecond},
		{"one without an expected output", change(func(ws []works.Request) { ws[3].Output, ws[3].Prompt = 0, 0 }), iteration},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s.InFlight = c.ws
			waits := slotWaits(engineViews(s), s)
			test.Between(t, c.want-5*time.Millisecond, waits[0], c.want+5*time.Millisecond)
		})
	}
}

// Guards against callers of a full service who are told to return before most engines have a
// slot, or after their deadline.
func TestRetryTimeOfAFullService(t *testing.T) {
	cases := []struct {
		name     string
		s        ServiceState
		r        Request
		from, to time.Duration
	}{
		{"slots soon", fullState(3, 3, 3), shortRequest, minRetryAfter, minRetryAfter},
		{"a minority is free soon", fullState(3, 40, 42), shortRequest, 2300 * time.Millisecond, 2450 * time.Millisecond},
		{"a majority is free soon", fullState(3, 3, 42), shortRequest, minRetryAfter, minRetryAfter},
		{"half is not a majority", fullState(3, 3, 40, 42), shortRequest, 2300 * time.Millisecond, 2450 * time.Millisecond},
		{"a retry", fullState(3, 40, 42).with(queued("a"), queued("a")), shortRetry, 2300 * time.Millisecond, 2450 * time.Millisecond},
		{"no earlier than the deadline allows", fullState(400, 400), shortRequest, shortRequest.TimeLeft / retryAfterDivisor, shortRequest.TimeLeft / retryAfterDivisor},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Choose(c.s, c.r)
			must.ErrorIs(t, err, ErrFull)
			test.Between(t, c.from, RetryAfter(got, c.r), c.to)
		})
	}
}

// Guards against a request beyond the slots that counts as decoding: the engine's iterations would
// look longer than they are. Its memory and its prefill are needed as soon as a slot is free.
func TestRequestsBeyondTheSlotsAreNotDecoded(t *testing.T) {
	s := fullState(9)
	before := engineViews(s)[0]
	waiting := queued("a")
	after := engineViews(s.with(waiting))[0]
	test.Eq(t, before.requests+1, after.requests)
	test.Eq(t, before.decoding, after.decoding)
	test.Eq(t, before.decodeTime(), after.decodeTime())
	test.Eq(t, before.usedTokens+waiting.Share+waiting.Output, after.usedTokens)
	test.Eq(t, before.backlog+before.prefillTime(split(waiting.Prompt, 1)), after.backlog)
}

// Load: a burst of short prompts with all slots taken, and several nodes that decide without
// knowing of each other's latest requests. A node must see at most maxWaiting requests beyond the
// slots of an engine after its own decision, and a request waits only where it gets a slot in time.
func TestBurstsLeaveFewRequestsBeyondTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 8).Draw(t, "engines")
		nodes := rapid.IntRange(1, 3).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := testState(engines)
		s.Random = rnd.Float64
		for _, e := range s.Endpoints {
			for range testEngine.Slots {
				s.InFlight = append(s.InFlight, decoded(e.Name, rapid.IntRange(1, 60).Draw(t, "events"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "age ms"))*time.Millisecond))
			}
		}
		all := s.InFlight
		for node := range nodes {
			s.InFlight = s.InFlight[: engines*testEngine.Slots : engines*testEngine.Slots]
			for range rapid.IntRange(0, 20).Draw(t, fmt.Sprint("prompts of node ", node)) {
				r := shortRetry
				r.IsRetry = rapid.Bool().Draw(t, "retry")
				c, err := Choose(s, r)
				if err != nil {
					must.ErrorIs(t, err, ErrFull)
					must.Between(t, minRetryAfter, RetryAfter(c, r), r.TimeLeft)
					continue
				}
				must.True(t, c.Waits && r.IsRetry)
				must.LessEq(t, maxWaitEstimate, c.Estimate)
				w := queued(c.Primary.Name)
				s.InFlight, all = append(s.InFlight, w), append(all, w)
				must.LessEq(t, testEngine.Slots+maxWaiting, countAt(s.InFlight, c.Primary))
			}
		}
		for _, e := range s.Endpoints {
			must.LessEq(t, testEngine.Slots+nodes*maxWaiting, countAt(all, e))
		}
	})
}

func countAt(ws []works.Request, e *topol.Endpoint) int {
	count := 0
	for _, w := range ws {
		if w.First == e.Name {
			count++
		}
	}
	return count
}

// Guards against many nodes that decide at the same time and all choose the engine whose slot is
// expected a little sooner than the others.
func TestNodesThatDecideAtTheSameTimeSpreadOverEngines(t *testing.T) {
	const nodes, engines = 28, 35
	s := fullState(make([]int, engines)...)
	for i := range s.InFlight {
		// The next slots are expected within 150 ms of each other.
		s.InFlight[i] = decoded(s.InFlight[i].First, 4, time.Duration(i%97)*time.Millisecond)
	}
	s.Random = rand.New(rand.NewPCG(1, 1)).Float64
	count := map[ident.EndpointName]int{}
	for range nodes {
		c, err := Choose(s, shortRetry)
		must.NoError(t, err)
		count[c.Primary.Name]++
	}
	for n, c := range count {
		test.LessEq(t, 5, c, test.Sprint(n))
	}
	test.Greater(t, nodes/3, len(count))
}
