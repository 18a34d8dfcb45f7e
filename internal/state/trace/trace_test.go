package trace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/trace"
)

func TestCausePrecedesEffectAlthoughClocksDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := &trace.Clock{}, &trace.Clock{}
		ahead.Observe(trace.Stamp{Wall: time.Now().Add(time.Hour).UnixMilli()})
		a, b := trace.NewRing("a", ahead, 10), trace.NewRing("b", behind, 10)
		a.Add(trace.Chosen, "r", "cause")
		behind.Observe(ahead.Now())
		b.Add(trace.Ended, "r", "effect")
		es := trace.Merge(b.Select(trace.Filter{}), a.Select(trace.Filter{}))
		must.Len(t, 2, es)
		test.Eq(t, "cause", es[0].Text)
		test.Eq(t, "effect", es[1].Text)
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	g := trace.NewRing("a", &trace.Clock{}, 3)
	for _, s := range []string{"1", "2", "3", "4", "5"} {
		g.Add(trace.Ended, "r", s)
	}
	es := g.Select(trace.Filter{Request: "r", Limit: 2})
	must.Len(t, 2, es)
	test.Eq(t, "4", es[0].Text)
	test.Eq(t, "5", es[1].Text)
	test.Len(t, 0, g.Select(trace.Filter{Request: "other"}))
}
