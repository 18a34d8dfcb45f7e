package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/cli"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Explain tells the story of one request.
type Explain struct {
	Args struct {
		Request ident.RequestID `positional-arg-name:"REQUEST" description:"id of the request"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("explain", "tell the story of one request", &Explain{})
}

const explainMost = 1000

// Execute prints one sentence for each event of the request.
func (c *Explain) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	es, err := gather(c.Args.Request, explainMost)
	if err != nil {
		return err
	}
	if len(es) == 0 {
		return &cli.Exit{Code: cli.ExitFailed, Text: "no node remembers request " + string(c.Args.Request)}
	}
	return nodes.print(es, func(w *tabwriter.Writer) {
		start := es[0].Stamp.Time()
		fmt.Fprintf(w, "Request %s came at %s.\n", c.Args.Request, start.UTC().Format(time.RFC3339))
		for _, e := range es {
			fmt.Fprintf(w, "After %s, node %s: %s.\n", e.Stamp.Time().Sub(start), e.Node, sentence(e))
		}
	})
}

// sentence puts an event in plain words.
func sentence(e admin.Event) string {
	switch e.Kind {
	case trace.Arrived:
		return "the request arrived, " + e.Text
	case trace.Admitted:
		return "it was admitted, with " + e.Text
	case trace.Refused:
		return "it was refused, because " + e.Text
	case trace.Chosen:
		return "it was sent, " + e.Text
	case trace.Claimed:
		return "its idempotency key was looked at, " + e.Text
	case trace.Ended:
		return "it ended, " + e.Text
	default:
		return e.Text
	}
}
