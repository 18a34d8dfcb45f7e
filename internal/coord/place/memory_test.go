package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// loadEngine is an engine of the deployment of docs/design/overload.md.
var loadEngine = &topol.Engine{
	Slots: 12, Memory: 197_200, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
	StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850, PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
}

// Requests of the three kinds of that deployment.
var (
	interactiveKind = Request{Prompt: 5_000, Output: 1_500, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	mediumKind      = Request{Prompt: 45_000, Output: 1_000, Target: 1500 * time.Millisecond, Gap: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	largeKind       = Request{Prompt: 190_000, Output: 800, Target: 3 * time.Second, Gap: time.Second, TimeLeft: 15 * time.Second}
)

// loadState returns a service of n engines of that deployment.
func loadState(n int, ws ...works.Request) ServiceState {
	s := testState(n, ws...)
	s.Engine = loadEngine
	return s
}

// announced returns the request in flight that the nodes hear of once a choice is sent.
func announced(c Choice, r Request, now time.Time) works.Request {
	w := works.Request{First: c.Primary.Name, Prompt: r.Prompt, Output: r.Output, Share: r.Prompt, Gap: r.Gap, Target: r.Target, Since: now}
	for i, h := range c.Helpers {
		w.Helpers = append(w.Helpers, h.Name)
		if i < len(c.Reservations) {
			w.Held = append(w.Held, works.Reservation{Endpoint: h.Name, Tokens: c.Reservations[i]})
			w.Share -= c.Reservations[i]
		}
	}
	return w
}

// memoryOf returns the memory that requests take at each engine.
func memoryOf(ws []works.Request) map[ident.EndpointName]ident.Tokens {
	used := map[ident.EndpointName]ident.Tokens{}
	for _, w := range ws {
		used[w.First] += w.Share + w.Output
		for _, h := range w.Held {
			used[h.Endpoint] += h.Tokens
		}
	}
	return used
}

// Guards against requests of other nodes that don't count toward the memory of an engine: those on
// their way, those that are decoded, and the parts that others hold at it.
func TestRequestsOfAllNodesCountTowardMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	const most = 197_200 * memoryPercent / 100
	taken := most - (mediumKind.Prompt + mediumKind.Output)
	cases := []struct {
		name string
		w    works.Request
	}{
		{"on its way", works.Request{Node: "n2", First: "a", Prompt: taken, Share: taken, Gap: time.Second, Since: now}},
		{"decoded", works.Request{Node: "n2", First: "a", Prompt: taken, Share: taken, Gap: time.Second, Since: now, Writing: true}},
		{"expected answer", works.Request{Node: "n2", First: "a", Prompt: taken / 2, Share: taken / 2, Output: taken - taken/2, Gap: time.Second, Since: now}},
		{"reserved for another engine", works.Request{Node: "n2", First: "b", Prompt: taken, Held: []works.Reservation{{Endpoint: "a", Tokens: taken}}, Helpers: []ident.EndpointName{"a"}, Gap: time.Second, Since: now}},
	}
	for _, c := range cases {
		for _, extra := range []ident.Tokens{0, 1} {
			t.Run(fmt.Sprint(c.name, ", ", extra, " too many"), func(t *testing.T) {
				w := c.w
				w.Share += extra
				if len(w.Held) > 0 {
					w.Share = 0
					w.Held = []works.Reservation{{Endpoint: "a", Tokens: taken + extra}}
				}
				s := loadState(1, w)
				_, err := Choose(s, mediumKind)
				if extra == 0 {
					test.NoError(t, err)
					return
				}
				test.ErrorIs(t, err, ErrFull)
			})
		}
	}
}

// Guards against engines whose memory is exceeded by nodes that know of each other's requests.
func TestMemoryIsNotExceededByKnownRequests(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := loadState(12)
		s.Random = random.Float64
		for range 600 {
			r := []Request{interactiveKind, interactiveKind, mediumKind, largeKind}[random.IntN(4)]
			r.IsRetry = true
			c, err := Choose(s, r)
			if err == nil {
				w := announced(c, r, s.Now)
				w.Writing = true
				s.InFlight = append(s.InFlight, w)
			}
		}
		must.Greater(t, 12, len(s.InFlight))
		for n, used := range memoryOf(s.InFlight) {
			test.LessEq(t, usableMemory(s.Engine), used, test.Sprint(seed, n))
		}
	}
}

// deciding returns the requests of several nodes that decide at the same moment, each on some
// requests, and know only their own beside those of the state.
func deciding(s ServiceState, r Request, nodes, each int, random *rand.Rand) []works.Request {
	s.Random = random.Float64
	known := len(s.InFlight)
	all := slices.Clone(s.InFlight)
	for range nodes {
		own := s
		own.InFlight = slices.Clone(s.InFlight)
		for range each {
			if c, err := Choose(own, r); err == nil {
				own.InFlight = append(own.InFlight, announced(c, r, s.Now))
			}
		}
		all = append(all, own.InFlight[known:]...)
	}
	return all
}

// Guards against more requests at an engine than its room and one of each node but the first, if
// nodes decide at the same moment, before they hear of each other. The engine has room for one of
// them: of medium prompts by its memory, of interactive ones by its slots, which is well below its
// memory. How many nodes decide within the time of an announcement depends on the load: of medium
// prompts, 5 to 7 a second come to all nodes, and announcements take some 10 ms.
func TestNodesThatDecideTogetherExceedMemoryByOneRequestEach(t *testing.T) {
	cases := []struct {
		name   string
		r      Request
		before int
		// most is the memory that is taken if two nodes decide together, in percent.
		most ident.Tokens
	}{
		{"medium", mediumKind, 3, 117},
		{"interactive", interactiveKind, 11, 43},
	}
	for _, c := range cases {
		for nodes := 1; nodes <= 4; nodes++ {
			t.Run(fmt.Sprint(c.name, ", nodes ", nodes), func(t *testing.T) {
				s := loadState(1)
				for range c.before {
					w := announced(Choice{Primary: s.Endpoints[0]}, c.r, s.Now)
					w.Writing = true
					s.InFlight = append(s.InFlight, w)
				}
				size := c.r.Prompt + c.r.Output
				ws := deciding(s, c.r, nodes, 1, rand.New(rand.NewPCG(1, 3)))
				used := memoryOf(ws)["a"]
				test.Eq(t, size*ident.Tokens(c.before+nodes), used)
				test.LessEq(t, usableMemory(s.Engine)+size*ident.Tokens(nodes-1), used)
				if nodes == 2 {
					test.LessEq(t, c.most, 100*used/s.Engine.Memory)
				}
				s.InFlight = ws
				_, err := Choose(s, c.r)
				test.ErrorIs(t, err, ErrFull, test.Sprint("once they have heard of each other"))
			})
		}
	}
}

// Guards against engines that get several times the prompts that they can store if announcements
// are lost: all nodes that don't know of each other's requests would fill the same engine first.
// With UnknownLoad they spread them.
func TestNodesWithoutAnnouncementsSpreadTheirPrompts(t *testing.T) {
	const nodes, engines = 28, 54
	cases := []struct {
		name string
		r    Request
		each int
		// most is the memory that may be taken at an engine, in percent.
		most ident.Tokens
	}{
		{"interactive", interactiveKind, 2, 25},
		{"medium", mediumKind, 1, 100},
		{"medium, two of each node", mediumKind, 2, 150},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := loadState(engines)
				s.UnknownLoad = true
				ws := deciding(s, c.r, nodes, c.each, rand.New(rand.NewPCG(seed, 4)))
				test.SliceLen(t, nodes*c.each, ws)
				for n, used := range memoryOf(ws) {
					test.LessEq(t, c.most, 100*used/s.Engine.Memory, test.Sprint(seed, n))
				}
			}
		})
	}
}
