package exper

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/lab/load"
)

// NamedPolicy names a policy in the results. New returns a new policy, since a
// policy may have state.
type NamedPolicy struct {
	Name string
	New  func() route.Policy
}

// Policies returns the policy that nodes use, "estimated", and the baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"estimated", func() route.Policy { return route.ByEstimate{} }},
		{"two choices", func() route.Policy { return route.TwoChoices{} }},
		{"least calls", func() route.Policy { return route.LeastRunning{} }},
		{"round robin", func() route.Policy { return &route.RoundRobin{} }},
	}
}

// PolicyResult is the result of one policy.
type PolicyResult struct {
	Policy string
	Report load.Report
	// Alone is the report of the same load without the long prompts.
	Alone load.Report
	// Slowdown is the time to first token of each short class, divided by the
	// lowest one of any policy without the long prompts.
	Slowdown map[string]load.Ratio
}

// Compare runs all policies on the same load, each with and without the long
// prompts.
func Compare(s Scenario) []PolicyResult {
	ps := Policies()
	results := make([]PolicyResult, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		wg.Go(func() { results[i] = s.runPolicy(p) })
	}
	wg.Wait()
	for _, c := range load.ShortClasses(s.Mix, maxShortTokens) {
		base := bestAlone(results, c.Name)
		for _, r := range results {
			r.Slowdown[c.Name] = load.RatioOf(r.Report.First[c.Name], base)
		}
	}
	return results
}

// bestAlone returns the lowest P50 and the lowest P95 of a class's time to first
// token over all policies, without the long prompts. The other fields are those
// of the first policy.
func bestAlone(results []PolicyResult, class string) load.Latency {
	best := results[0].Alone.First[class]
	for _, r := range results[1:] {
		f := r.Alone.First[class]
		best.P50, best.P95 = min(best.P50, f.P50), min(best.P95, f.P95)
	}
	return best
}

// runPolicy simulates the load with and without the long prompts.
func (s Scenario) runPolicy(p NamedPolicy) PolicyResult {
	alone := s
	alone.ShortOnly = true
	return PolicyResult{
		Policy:   p.Name,
		Report:   load.Summarize(s.Mix, s.Run(p.New())),
		Alone:    load.Summarize(s.Mix, alone.Run(p.New())),
		Slowdown: map[string]load.Ratio{},
	}
}

// WriteComparison writes the results of Compare as a table.
func WriteComparison(w io.Writer, results []PolicyResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tclass\tcount\tp50\tp95\tp99\tslowdown p50\tslowdown p95")
	for _, r := range results {
		for _, c := range r.Report.Classes {
			f := r.Report.First[c]
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s", r.Policy, c, f.Count, formatDuration(f.P50), formatDuration(f.P95), formatDuration(f.P99))
			if s, ok := r.Slowdown[c]; ok {
				fmt.Fprintf(t, "\t%.2f\t%.2f", s.P50, s.P95)
			}
			fmt.Fprintln(t)
		}
	}
	t.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
