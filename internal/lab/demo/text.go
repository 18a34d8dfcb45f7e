package demo

import (
	"fmt"
	"io"
)

// WriteText writes the report of the mixed load, the slowdown of the short
// prompts and the invariants as text.
func (o *Outcome) WriteText(w io.Writer) {
	fmt.Fprintf(w, "fleet %s, seed %d\n\n", o.Fleet, o.Seed)
	o.Report.WriteText(w)
	fmt.Fprintln(w, "\nslowdown of short prompts against the same short load alone:")
	for _, c := range o.Alone.Classes {
		r := o.Slowdown[c]
		fmt.Fprintf(w, "  %s  p50 %.2f  p95 %.2f\n", c, r.P50, r.P95)
	}
	fmt.Fprintln(w, "\ninvariants:")
	for _, v := range o.Invariants {
		word := "held  "
		if !v.Held {
			word = "BROKEN"
		}
		fmt.Fprintf(w, "  %s  %s\n          %s\n", word, v.Name, v.Evidence)
	}
}
