package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	prefillRate = 100_000
	tries       = 300
)

func idle(names ...ident.EndpointName) []route.Candidate {
	var cs []route.Candidate
	for _, n := range names {
		cs = append(cs, route.Candidate{Name: n, Load: table.LoadEstimate{PrefillRate: prefillRate, Memory: 400_000, FreeMemory: 400_000}})
	}
	return cs
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// countChoices returns how often each candidate is chosen in many tries.
func countChoices(t *testing.T, cs []route.Candidate, r route.Request) []int {
	rnd := random()
	n := make([]int, len(cs))
	for range tries {
		c, err := route.ByEstimate{}.Choose(route.SourceOf(cs), r, rnd)
		must.NoError(t, err)
		n[c.Index]++
	}
	return n
}

func TestByEstimatePrefers(t *testing.T) {
	short := route.Request{Prompt: 1000, Output: 100, Short: true, ReservedPercent: 20}
	long := route.Request{Prompt: 100_000, Output: 100, ReservedPercent: 20}
	cases := []struct {
		name   string
		change func(cs []route.Candidate)
		req    route.Request
		never  int
	}{
		{"a short queue", func(cs []route.Candidate) { cs[0].Load.ShortQueue = 50_000 }, short, 0},
		{"an endpoint without long prompts", func(cs []route.Candidate) { cs[0].Load.LongQueue = 50_000 }, short, 0},
		{"an available endpoint", func(cs []route.Candidate) { cs[0].Unavailable = true }, long, 0},
		{"a cached prefix", func(cs []route.Candidate) { cs[1].Cached, cs[2].Cached = 90_000, 90_000 }, long, 0},
		{"free memory", func(cs []route.Candidate) { cs[0].Load.FreeMemory = 50_000 }, long, 0},
		{"memory beyond the reserved part", func(cs []route.Candidate) { cs[0].Load.FreeMemory = 150_000 }, long, 0},
		{"the long pool for long prompts", func(cs []route.Candidate) { cs[1].InLongPool, cs[2].InLongPool = true, true }, long, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cs := idle("a", "b", "c")
			c.change(cs)
			n := countChoices(t, cs, c.req)
			if c.req.Short {
				// Short requests compare random samples, so a worse
				// endpoint is chosen rarely.
				test.Less(t, tries/10, n[c.never])
			} else {
				test.Eq(t, 0, n[c.never])
			}
			test.Positive(t, n[1])
			test.Positive(t, n[2])
		})
	}
}

func TestSuspectsRunApart(t *testing.T) {
	cs := idle("a", "b")
	cs[0].Suspects = 1
	r := route.Request{Prompt: 10, Output: 1, Short: true, Suspect: true}
	test.Eq(t, 0, countChoices(t, cs, r)[0])
	cs[1].Suspects = 1
	_, err := route.ByEstimate{}.Choose(route.SourceOf(cs), r, random())
	test.ErrorIs(t, err, route.ErrNoEndpoint)
}

func TestLongPoolFollowsTheWait(t *testing.T) {
	loads := func(queue ident.Tokens) []table.LoadEstimate {
		vs := make([]table.LoadEstimate, 10)
		for i := range vs {
			vs[i] = table.LoadEstimate{PrefillRate: prefillRate, LongQueue: queue}
		}
		return vs
	}
	var pool route.LongPool
	test.Eq(t, 5, pool.Size(10))
	for range 200 {
		pool = pool.Resized(loads(500_000))
	}
	test.Eq(t, 9, pool.Size(10))
	for range 200 {
		pool = pool.Resized(loads(0))
	}
	test.Eq(t, 1, pool.Size(10))
	test.Eq(t, 1, pool.Size(1))
	test.Eq(t, 1, pool.Resized(nil).Size(1))
}

func TestPoliciesFailWithoutCandidates(t *testing.T) {
	for _, p := range []route.Policy{route.ByEstimate{}, &route.RoundRobin{}, route.LeastRunning{}, route.TwoChoices{}} {
		_, err := p.Choose(route.SourceOf(nil), route.Request{Prompt: 1}, random())
		test.ErrorIs(t, err, route.ErrNoEndpoint)
		_, err = p.Choose(route.SourceOf(idle("a")), route.Request{Prompt: 900_000, Short: true}, random())
		test.ErrorIs(t, err, route.ErrNoEndpoint)
	}
}

func TestSplitPrompt(t *testing.T) {
	r := route.Request{Prompt: 900_000, Output: 1000, ReservedPercent: 20}
	cs := idle("d", "b", "a", "c", "e")
	p, err := route.SplitPrompt(cs, r, true)
	must.NoError(t, err)
	must.Len(t, 3, p.Parts)
	var sum ident.Tokens
	for i, x := range p.Parts {
		sum += x.Tokens
		if i > 0 {
			test.Less(t, cs[x.Index].Name, cs[p.Parts[i-1].Index].Name)
		}
	}
	test.GreaterEq(t, r.Prompt+r.Output, sum)
	for i := range cs[:3] {
		cs[i].Load.FreeMemory = 100_000
	}
	_, err = route.SplitPrompt(cs, r, true)
	test.ErrorIs(t, err, route.ErrNoEndpoint)
	_, err = route.SplitPrompt(cs, r, false)
	test.NoError(t, err)
}

func BenchmarkEstimated400(b *testing.B) {
	var cs []route.Candidate
	for i := range 400 {
		c := idle("e")[0]
		c.Load.ShortQueue = ident.Tokens(i * 100)
		cs = append(cs, c)
	}
	rnd, src := random(), route.SourceOf(cs)
	r := route.Request{Prompt: 1000, Output: 100, Short: true}
	for b.Loop() {
		if _, err := (route.ByEstimate{}).Choose(src, r, rnd); err != nil {
			b.Fatal(err)
		}
	}
}
