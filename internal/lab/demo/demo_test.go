package demo_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/demo"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/pkg/ident"
)

// TestDemo runs a short demo of each example fleet and checks the invariants. It
// skips those that bound a duration, since a slow host can violate them; the demo
// command checks them.
func TestDemo(t *testing.T) {
	for _, name := range []string{"duct", "grozs"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan, err := fleet.PlanOf(name)
			must.NoError(t, err)
			f := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop(), DrainDelay: 300 * time.Millisecond}
			must.NoError(t, f.Start(context.Background()))
			defer f.Stop()
			o, err := (&demo.Demo{Fleet: f, Seed: 1, Duration: 3 * time.Second}).Run(context.Background())
			must.NoError(t, err)
			for _, v := range o.Invariants {
				if !v.Timed {
					test.True(t, v.Held, test.Sprintf("%s: %s", v.Name, v.Evidence))
				}
			}
			test.Positive(t, o.Report.Outcomes[load.Prompt][ident.Answered])
			var b bytes.Buffer
			o.WriteText(&b)
			test.StrContains(t, b.String(), "a booking runs at most once")
			must.NoError(t, load.WritePlots(t.TempDir(), o.Report, nil))
		})
	}
}

func TestUnknownFleet(t *testing.T) {
	_, err := fleet.PlanOf("other")
	test.ErrorIs(t, err, fleet.ErrUnknownFleet)
}
