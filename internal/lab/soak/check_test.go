package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestCheckFindsEachBrokenGuarantee(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	run := func(s float64) Run { return Run{Endpoint: "e1", StartedAt: at(s), EndedAt: at(s + 0.1)} }
	// answered returns a call with a complete response and the given runs.
	answered := func(k topol.Kind, rs ...Run) Call {
		return Call{Kind: k, Key: "k", Node: "n1", SentAt: at(10), EndedAt: at(10.2), Timeout: 4 * time.Second, Status: 200, Complete: true, PermanentKey: true, Runs: rs}
	}
	modify := func(c Call, f func(*Call)) Call { f(&c); return c }
	stop := Disturbance{Node: "n1", StartedAt: at(9), EndedAt: at(11), IsGracefulShutdown: true}
	kill := Disturbance{Node: "n1", StartedAt: at(8), EndedAt: at(9)}
	truncated := modify(answered(topol.Stream, run(10)), func(c *Call) { c.Complete = false; c.EndedAt = at(10.5) })
	truncatedRun := run(10)
	truncatedRun.Truncated = true
	cases := []struct {
		name string
		call Call
		// times is the number of such calls; zero means one.
		times        int
		disturbances []Disturbance
		// revoked, departed and faultFreeSince are seconds after begin; zero means
		// never.
		revoked        float64
		departed       float64
		faultFreeSince float64
		want           string
	}{
		{name: "no violation", call: answered(topol.Once, run(10))},
		{name: "ran twice", call: answered(topol.Once, run(10), run(10.1)), want: "twice"},
		{name: "idempotent request ran twice", call: answered(topol.Idempotent, run(10), run(10.1))},
		{name: "refused and ran", call: modify(answered(topol.Once, run(10)), func(c *Call) { c.Status = 503 }), want: "refused"},
		{name: "idempotent, refused and answered whole", call: modify(answered(topol.Idempotent, run(10)), func(c *Call) { c.Status = 503 }), want: "refused"},
		{name: "idempotent, refused and cut off", call: modify(answered(topol.Idempotent, Run{Endpoint: "e1", StartedAt: at(10), EndedAt: at(10.1), Truncated: true}), func(c *Call) { c.Status = 503 })},
		{name: "idempotent, refused and given up", call: modify(answered(topol.Idempotent, Run{Endpoint: "e1", StartedAt: at(10), EndedAt: at(10.1), Cancelled: true}), func(c *Call) { c.Status = 503 })},
		{name: "idempotent, refused near a kill", call: modify(answered(topol.Idempotent, run(10)), func(c *Call) { c.Status = 503 }), disturbances: []Disturbance{kill}},
		{name: "failed and ran", call: modify(answered(topol.Once, run(10)), func(c *Call) { c.Status = 502 })},
		{name: "wrong content", call: modify(answered(topol.Stream, run(10)), func(c *Call) { c.ContentError = "other bytes" }), want: "mixed"},
		{name: "key revoked long before", call: answered(topol.Once, run(10)), revoked: 4, want: "revoked"},
		{name: "key revoked just before", call: answered(topol.Once, run(10)), revoked: 6},
		{name: "key revoked, request refused", call: modify(answered(topol.Once), func(c *Call) { c.Status = 401 }), revoked: 4},
		{name: "endpoint departed long before", call: answered(topol.Once, run(10)), departed: 7, want: "drain"},
		{name: "endpoint departed just before", call: answered(topol.Once, run(10)), departed: 8.5},
		{name: "endpoint departed, node disturbed", call: answered(topol.Once, run(10)), departed: 7, disturbances: []Disturbance{kill}},
		{name: "cut off by a stop", call: truncated, disturbances: []Disturbance{stop}, want: "lost"},
		{name: "cut off by a stop near a kill", call: truncated, disturbances: []Disturbance{stop, kill}},
		{name: "cut off without a stop", call: truncated},
		{name: "cut off by its endpoint near a stop", call: modify(truncated, func(c *Call) { c.Runs = []Run{run(10), truncatedRun} }), disturbances: []Disturbance{stop}},
		{name: "cut off by a stop after a run that its endpoint cut off", call: modify(truncated, func(c *Call) { c.Runs = []Run{truncatedRun, run(10.2)} }), disturbances: []Disturbance{stop}, want: "lost"},
		{name: "late", call: modify(answered(topol.Stream, run(10)), func(c *Call) { c.EndedAt = at(15) }), times: 4, want: "late"},
		{name: "fewer late requests than allowed", call: modify(answered(topol.Stream, run(10)), func(c *Call) { c.EndedAt = at(15) })},
		{name: "run continues after the caller closed the connection", call: modify(answered(topol.Stream, Run{Endpoint: "e1", StartedAt: at(10)}), func(c *Call) { c.AbandonedAt = at(10.1) }), times: 4, want: "gone"},
		{name: "run ends soon after the caller closed the connection", call: modify(answered(topol.Stream, run(10)), func(c *Call) { c.AbandonedAt = at(10.1) }), times: 4},
		{name: "not served after the last fault", call: modify(answered(topol.Stream), func(c *Call) { c.Status = 503 }), faultFreeSince: 9, want: "served"},
		{name: "revoked key after the last fault", call: modify(answered(topol.Stream), func(c *Call) { c.Status = 401; c.PermanentKey = false }), faultFreeSince: 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := NewJournal()
			for i := range max(1, c.times) {
				one := c.call
				one.ID = string(rune('a' + i))
				j.AddCall(&one)
			}
			for _, d := range c.disturbances {
				j.disturbances = append(j.disturbances, &d)
			}
			if c.revoked > 0 {
				j.revokedAt["k"] = at(c.revoked)
			}
			if c.departed > 0 {
				j.departedAt["e1"] = at(c.departed)
			}
			faultFreeSince := at(100)
			if c.faultFreeSince > 0 {
				faultFreeSince = at(c.faultFreeSince)
			}
			rules := ident.Set[string]{}
			for _, v := range j.Check(UserBounds(), faultFreeSince) {
				rules.Add(v.Rule)
			}
			want := ident.Set[string]{}
			if c.want != "" {
				want.Add(c.want)
			}
			test.Eq(t, want.Sorted(), rules.Sorted())
		})
	}
}

func TestRunOfUnknownRequestIsViolation(t *testing.T) {
	j := NewJournal()
	j.StartRun("r1", "e1")(false)
	vs := j.Check(UserBounds(), time.Now())
	test.SliceLen(t, 1, vs)
	test.Eq(t, "unasked", vs[0].Rule)
}

func TestPlansAreReproducibleAndCoverAllFaults(t *testing.T) {
	seen := ident.Set[string]{}
	for seed := range uint64(20) {
		p := Plan(seed, 20*time.Second)
		test.Eq(t, p, Plan(seed, 20*time.Second))
		for _, s := range p {
			seen.Add(s.Kind.String())
			test.GreaterEq(t, minFaultDuration, s.Duration)
			test.LessEq(t, maxFaultDuration, s.Duration)
		}
	}
	test.Eq(t, int(faultCount), len(seen))
}
