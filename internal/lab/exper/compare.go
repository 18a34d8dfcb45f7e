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
	// Alone is the report of the short part of the load alone.
	Alone load.Report
	// Slowdown compares each short class with the same short load alone
	// under the policy that is best at that.
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
	for _, l := range load.ShortClasses(x.Lengths, shortTokens) {
		base := bestAlone(rows, l.Name)
		for _, r := range rows {
			r.Slowdown[l.Name] = load.RatioOf(r.Report.First[l.Name], base)
		}
	}
	return rows
}

// bestAlone returns the least times of a class in the short load alone.
func bestAlone(rows []Row, class string) load.Latency {
	best := rows[0].Alone.First[class]
	for _, r := range rows[1:] {
		f := r.Alone.First[class]
		best.P50, best.P95 = min(best.P50, f.P50), min(best.P95, f.P95)
	}
	return best
}

func (x Routing) row(p Named) Row {
	alone := x
	alone.ShortOnly = true
	return Row{
		Policy:   p.Name,
		Report:   load.Summarize(x.Lengths, x.Run(p.New())),
		Alone:    load.Summarize(x.Lengths, alone.Run(p.New())),
		Slowdown: map[string]load.Ratio{},
	}
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
