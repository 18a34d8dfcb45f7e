package health_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/health"
	"laburnumstack.org/laburnum/internal/state/table"
)

func TestTracker(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	listed := func(leaving bool) func(*health.Tracker) { return func(k *health.Tracker) { k.Listed(leaving) } }
	reported := func(leaving bool, after time.Duration) func(*health.Tracker) {
		return func(k *health.Tracker) { k.Reported(leaving, now.Add(after)) }
	}
	refused := func(k *health.Tracker) { k.Refused(now) }
	failed := func(unreachable bool) func(*health.Tracker) { return func(k *health.Tracker) { k.Failed(unreachable) } }
	cases := []struct {
		name   string
		events []func(*health.Tracker)
		state  table.State
	}{
		{"up before any event", nil, table.Up},
		{"listed as leaving", []func(*health.Tracker){listed(true)}, table.Leaving},
		{"a report does not overrule the list", []func(*health.Tracker){listed(true), reported(false, time.Hour)}, table.Leaving},
		{"a stale list does not overrule a report of leaving", []func(*health.Tracker){reported(true, 0), listed(false)}, table.Leaving},
		{"the list alone does not bring it back", []func(*health.Tracker){listed(true), listed(false)}, table.Leaving},
		{"a report after the list brings it back", []func(*health.Tracker){listed(true), listed(false), reported(false, time.Hour)}, table.Up},
		{"a refusal makes it leaving", []func(*health.Tracker){refused}, table.Leaving},
		{"a report older than the refusal does not bring it back", []func(*health.Tracker){refused, reported(false, time.Second)}, table.Leaving},
		{"a later report brings it back", []func(*health.Tracker){refused, reported(false, 3*time.Second)}, table.Up},
		{"one probe that timed out is not enough", []func(*health.Tracker){failed(false)}, table.Up},
		{"two probes that timed out are enough", []func(*health.Tracker){failed(false), failed(false)}, table.Down},
		{"nothing listens", []func(*health.Tracker){failed(true)}, table.Down},
		{"a report brings it up again", []func(*health.Tracker){failed(true), reported(false, 0)}, table.Up},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var k health.Tracker
			for _, e := range c.events {
				e(&k)
			}
			test.Eq(t, c.state, k.State())
		})
	}
}
