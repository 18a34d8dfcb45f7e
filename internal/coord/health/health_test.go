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
	listed := func(leaving bool) func(*health.Tracker) { return func(k *health.Tracker) { k.RecordListing(leaving) } }
	reported := func(leaving bool, after time.Duration) func(*health.Tracker) {
		return func(k *health.Tracker) { k.RecordReport(leaving, now.Add(after)) }
	}
	refused := func(k *health.Tracker) { k.RecordRefusal(now) }
	failed := func(unreachable bool) func(*health.Tracker) {
		return func(k *health.Tracker) { k.RecordFailedProbe(unreachable) }
	}
	cases := []struct {
		name   string
		events []func(*health.Tracker)
		state  table.State
	}{
		{"up before any event", nil, table.Up},
		{"listed as leaving", []func(*health.Tracker){listed(true)}, table.Leaving},
		{"a report does not overrule the list", []func(*health.Tracker){listed(true), reported(false, time.Hour)}, table.Leaving},
		{"a stale list does not overrule a report of leaving", []func(*health.Tracker){reported(true, 0), listed(false)}, table.Leaving},
		{"an updated list alone does not end leaving", []func(*health.Tracker){listed(true), listed(false)}, table.Leaving},
		{"a report after the updated list ends leaving", []func(*health.Tracker){listed(true), listed(false), reported(false, time.Hour)}, table.Up},
		{"a refusal makes it leaving", []func(*health.Tracker){refused}, table.Leaving},
		{"a report that may be older than the refusal does not end leaving", []func(*health.Tracker){refused, reported(false, time.Second)}, table.Leaving},
		{"a later report ends leaving", []func(*health.Tracker){refused, reported(false, 3*time.Second)}, table.Up},
		{"one probe that timed out does not take it down", []func(*health.Tracker){failed(false)}, table.Up},
		{"two probes that timed out take it down", []func(*health.Tracker){failed(false), failed(false)}, table.Down},
		{"one probe takes it down if nothing listens", []func(*health.Tracker){failed(true)}, table.Down},
		{"a report ends being down", []func(*health.Tracker){failed(true), reported(false, 0)}, table.Up},
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
