package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/topol"
)

func TestUnansweredRequestsAreFound(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	// lost is a request on a connection that had been idle for 0.5 s, and ended.
	lost := Call{
		ID: "a", Kind: topol.Idempotent, Node: "n1", SentAt: at(10), EndedAt: at(10.1), Timeout: 4 * time.Second,
		Kept: true, IdleSince: at(9.5), EndedWithoutByte: true,
	}
	with := func(f func(*Call)) Call { c := lost; f(&c); return c }
	oneSecond := []idleLimit{{limit: time.Second, from: at(0)}}
	longer := []idleLimit{{limit: time.Second, from: at(0), until: at(8)}, {limit: 10 * time.Second, from: at(7.9)}}
	shorter := []idleLimit{{limit: 10 * time.Second, from: at(0), until: at(8)}, {limit: time.Second, from: at(7.9)}}
	longAgo := []idleLimit{{limit: 10 * time.Second, from: at(0), until: at(2)}, {limit: time.Second, from: at(1.9)}}
	cases := []struct {
		name         string
		call         Call
		limits       []idleLimit
		disturbances []Disturbance
		exits        []nodeExit
		want         int
	}{
		{name: "lost", call: lost, limits: oneSecond, want: 1},
		{name: "answered", call: with(func(c *Call) { c.EndedWithoutByte = false }), limits: oneSecond},
		{name: "first request of a connection", call: with(func(c *Call) { c.Kept = false }), limits: oneSecond},
		{name: "abandoned", call: with(func(c *Call) { c.AbandonedAt = at(10.05) }), limits: oneSecond},
		{name: "idle for just under four fifths", call: with(func(c *Call) { c.IdleSince = at(9.21) }), limits: oneSecond, want: 1},
		{name: "idle for four fifths", call: with(func(c *Call) { c.IdleSince = at(9.2) }), limits: oneSecond},
		{name: "limit was made longer", call: with(func(c *Call) { c.IdleSince = at(6) }), limits: longer, want: 1},
		{name: "limit was made shorter", call: with(func(c *Call) { c.IdleSince = at(6) }), limits: shorter, want: 1},
		{name: "limit was made shorter long ago", call: with(func(c *Call) { c.IdleSince = at(6) }), limits: longAgo},
		{
			name: "limit was made longer, node without the store", call: with(func(c *Call) { c.IdleSince = at(6) }), limits: longer,
			disturbances: []Disturbance{{Node: "n1", Kind: CutStore.String(), StartedAt: at(5), EndedAt: at(7)}},
		},
		{
			name: "node without the store", call: lost, limits: oneSecond,
			disturbances: []Disturbance{{Node: "n1", Kind: CutStore.String(), StartedAt: at(5), EndedAt: at(11)}}, want: 1,
		},
		{
			name: "planned stop", call: lost, limits: oneSecond,
			disturbances: []Disturbance{{Node: "n1", Kind: StopNode.String(), StartedAt: at(9), EndedAt: at(12), IsGracefulShutdown: true}}, want: 1,
		},
		{name: "killed", call: lost, limits: oneSecond, disturbances: []Disturbance{{Node: "n1", Kind: KillNode.String(), StartedAt: at(10.05)}}},
		{name: "all killed", call: lost, limits: oneSecond, disturbances: []Disturbance{{Kind: KillAll.String(), StartedAt: at(9.8), EndedAt: at(12)}}},
		{name: "paused while idle", call: lost, limits: oneSecond, disturbances: []Disturbance{{Node: "n1", Kind: PauseNode.String(), StartedAt: at(9), EndedAt: at(9.6)}}},
		{name: "killed before that", call: lost, limits: oneSecond, disturbances: []Disturbance{{Node: "n1", Kind: KillNode.String(), StartedAt: at(8), EndedAt: at(9)}}, want: 1},
		{name: "another one killed", call: lost, limits: oneSecond, disturbances: []Disturbance{{Node: "n2", Kind: KillNode.String(), StartedAt: at(10)}}, want: 1},
		{name: "process exited", call: lost, limits: oneSecond, exits: []nodeExit{{"n1", at(10.05)}}, want: 1},
		{name: "distant, process exited", call: with(func(c *Call) { c.Distant = true }), limits: oneSecond, exits: []nodeExit{{"n1", at(10.05)}}},
		{name: "distant, process exited before that", call: with(func(c *Call) { c.Distant = true }), limits: oneSecond, exits: []nodeExit{{"n1", at(9.8)}}, want: 1},
	}
	for _, c := range cases {
		j := NewJournal()
		j.idleLimits, j.exits = c.limits, c.exits
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		test.SliceLen(t, c.want, j.checkUnanswered(&c.call, UserBounds()), test.Sprint(c.name))
	}
}

func TestStreamsCutBesideASilenceAreFound(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	run := Run{Endpoint: "e1", StartedAt: at(10), EndedAt: at(12)}
	silent, truncated := run, run
	silent.Silent, truncated.Truncated = true, true
	cut := Call{ID: "a", Kind: topol.Stream, Node: "n1", SentAt: at(10), EndedAt: at(12), Timeout: 4 * time.Second, Status: 200, Runs: []Run{silent}}
	with := func(f func(*Call)) Call { c := cut; f(&c); return c }
	cases := []struct {
		name         string
		call         Call
		disturbances []Disturbance
		want         int
	}{
		{name: "cut", call: cut, want: 1},
		{name: "complete", call: with(func(c *Call) { c.Complete = true })},
		{name: "no silence", call: with(func(c *Call) { c.Runs = []Run{run} })},
		{name: "cut off by the second endpoint", call: with(func(c *Call) { c.Runs = []Run{silent, truncated} })},
		{name: "second run", call: with(func(c *Call) { c.Runs = []Run{silent, run} }), want: 1},
		{name: "abandoned", call: with(func(c *Call) { c.AbandonedAt = at(11) })},
		{name: "out of time", call: with(func(c *Call) { c.EndedAt = at(14) })},
		{name: "stop", call: cut, disturbances: []Disturbance{{Node: "n1", StartedAt: at(9), EndedAt: at(13), IsGracefulShutdown: true}}, want: 1},
		{name: "endpoint crashed", call: cut, disturbances: []Disturbance{{Kind: CrashEndpoint.String(), StartedAt: at(9), EndedAt: at(13)}}},
		{name: "other node killed", call: cut, disturbances: []Disturbance{{Node: "n2", StartedAt: at(9), EndedAt: at(13)}}, want: 1},
	}
	for _, c := range cases {
		j := NewJournal()
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		test.SliceLen(t, c.want, j.checkSilence(&c.call, UserBounds()), test.Sprint(c.name))
	}
}

func TestPlansOfConnectionFaultsAreReproducible(t *testing.T) {
	seen := map[FaultKind]bool{}
	for seed := range uint64(20) {
		p := planConnections(seed, 20*time.Second)
		test.Eq(t, p, planConnections(seed, 20*time.Second))
		for _, f := range p {
			seen[f.Kind] = true
			test.StrNotEqFold(t, "", f.Kind.String())
		}
	}
	test.MapLen(t, int(connFaultEnd-ChangeIdle), seen)
}
