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

// Named is a policy with its name.
type Named struct {
	Name string
	New  func() route.Policy
}

// Policies are the policy in use and its baselines.
func Policies() []Named {
	return []Named{
		{"estimated", func() route.Policy { return route.Estimated{} }},
		{"two choices", func() route.Policy { return route.TwoChoices{} }},
		{"least calls", func() route.Policy { return route.LeastCalls{} }},
		{"round robin", func() route.Policy { return &route.RoundRobin{} }},
	}
}

// Row is what one policy did with the load.
type Row struct {
	Policy string
	Report load.Report
	// Slowdown compares each short class with the same short load alone
	// under the same policy.
	Slowdown map[string]load.Ratio
}

// Compare runs all policies on the same load.
func Compare(x Routing) []Row {
	ps := Policies()
	rows := make([]Row, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		wg.Go(func() { rows[i] = x.row(p) })
	}
	wg.Wait()
	return rows
}

func (x Routing) row(p Named) Row {
	alone := x
	alone.ShortOnly = true
	mixed := load.Summarize(x.Lengths, x.Run(p.New()))
	base := load.Summarize(x.Lengths, alone.Run(p.New()))
	r := Row{Policy: p.Name, Report: mixed, Slowdown: map[string]load.Ratio{}}
	for _, l := range load.Short(x.Lengths, shortTokens) {
		r.Slowdown[l.Name] = load.RatioOf(mixed.First[l.Name], base.First[l.Name])
	}
	return r
}

// WriteText writes the rows side by side.
func WriteText(w io.Writer, rows []Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tclass\tcount\tp50\tp95\tp99\tslowdown p50\tslowdown p95")
	for _, r := range rows {
		for _, c := range r.Report.Classes {
			f := r.Report.First[c]
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s", r.Policy, c, f.Count, ms(f.P50), ms(f.P95), ms(f.P99))
			if s, ok := r.Slowdown[c]; ok {
				fmt.Fprintf(t, "\t%.2f\t%.2f", s.P50, s.P95)
			}
			fmt.Fprintln(t)
		}
	}
	t.Flush()
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
