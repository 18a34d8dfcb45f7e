package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/pkg/admin"
)

// Endpoints lists the endpoints with their states and loads.
type Endpoints struct{}

func init() {
	commands.Add("endpoints", "list the endpoints with their states and loads, as seen by one node", &Endpoints{})
}

// Execute prints the endpoints as reported by the first node that answers.
func (c *Endpoints) Execute(args []string) error {
	return show(args, (*admin.Client).Endpoints, func(w *tabwriter.Writer, es []admin.Endpoint) {
		fmt.Fprintln(w, "ENDPOINT\tKIND\tSTATE\tDATA CENTRE\tADDRESS\tCALLS\tRUNNING\tWAITING\tQUEUE TOKENS\tHELD TOKENS\tREPORT")
		for _, e := range es {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", e.Name, e.Kind, e.State, e.DataCentre, e.Address, e.Calls, e.Running, e.Waiting, e.QueueTokens, e.HeldTokens, formatAge(e.ReportAge))
		}
	})
}

// formatAge formats the age of a load report, which is negative if there was no
// report.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "none yet"
	}
	return d.Round(time.Millisecond).String() + " ago"
}
