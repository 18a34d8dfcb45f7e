package claim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// A fixed seed makes the property tests reproducible.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = claim.Key{Workspace: "w", Name: "k"}
)

func record(op claim.Op, a string) claim.Record {
	return claim.Record{Items: []claim.Item{{Op: op, Key: key, Attempt: ident.AttemptID(a), Age: time.Hour}}}
}

func TestTable(t *testing.T) {
	type step struct {
		op      claim.Op
		attempt string
		after   time.Duration
		won     bool
	}
	cases := []struct {
		name  string
		steps []step
		state claim.State
	}{
		{"first wins", []step{{claim.Claim, "a", 0, true}, {claim.Claim, "b", 0, false}}, claim.Held},
		{"a repeated record changes nothing", []step{{claim.Claim, "a", 0, true}, {claim.Claim, "a", 0, true}}, claim.Held},
		{"released keys are free", []step{{claim.Claim, "a", 0, true}, {claim.Release, "a", 0, false}, {claim.Claim, "b", 0, true}}, claim.Held},
		{"only the holder releases", []step{{claim.Claim, "a", 0, true}, {claim.Release, "b", 0, false}, {claim.Claim, "b", 0, false}}, claim.Held},
		{"a lost answer is final", []step{{claim.Claim, "a", 0, true}, {claim.Lost, "a", 0, false}, {claim.Release, "a", 0, false}, {claim.Claim, "b", 0, false}}, claim.Unanswered},
		{"a released attempt does not win again", []step{{claim.Claim, "a", 0, true}, {claim.Release, "a", 0, false}, {claim.Claim, "a", 0, false}}, claim.Released},
		{"expired keys are refused", []step{{claim.Claim, "a", 0, true}, {claim.Release, "a", 0, false}, {claim.Claim, "b", 90 * time.Minute, false}}, claim.Released},
		{"keys past twice their age are new", []step{{claim.Claim, "a", 0, true}, {claim.Claim, "b", 3 * time.Hour, true}}, claim.Held},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := claim.NewTable()
			for i, s := range c.steps {
				rs := tab.Apply(ident.Offset(i), start.Add(s.after), record(s.op, s.attempt))
				if s.op == claim.Claim {
					must.Len(t, 1, rs)
					test.Eq(t, s.won, rs[0].Won, test.Sprintf("step %d", i))
				}
			}
			e, ok := tab.Lookup(key)
			must.True(t, ok)
			test.Eq(t, c.state, e.State)
		})
	}
}

// TestOneHolder checks on random streams that a key has at most one holder
// until it is released or forgotten. It also checks that a reader that lacks old
// records grants no claim that the other readers refuse, once it has read for
// twice the key's lifetime.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, late := claim.NewTable(), claim.NewTable()
		now, lastClaim := start, start
		lateFrom := start.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Minute)
		holder := ""
		for i := range rapid.IntRange(1, 80).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "minutes")) * time.Minute)
			op, a := claim.Claim, fmt.Sprint(i)
			if holder != "" && rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				op = rapid.SampledFrom([]claim.Op{claim.Release, claim.Done}).Draw(t, "end")
				a = holder
			}
			rec := record(op, a)
			results := full.Apply(ident.Offset(i), now, rec)
			var lateResults []claim.Result
			if now.After(lateFrom) {
				lateResults = late.Apply(ident.Offset(i), now, rec)
			}
			if op == claim.Release {
				holder = ""
			}
			if op != claim.Claim {
				continue
			}
			if results[0].Won {
				must.True(t, holder == "" || now.Sub(lastClaim) > 2*time.Hour, must.Sprintf("%s won while %s holds the key", a, holder))
				holder = a
			}
			if now.Sub(lateFrom) > 2*time.Hour && lateResults[0].Won {
				must.True(t, results[0].Won, must.Sprintf("%s won only for the late reader", a))
			}
			lastClaim = now
		}
	})
}
