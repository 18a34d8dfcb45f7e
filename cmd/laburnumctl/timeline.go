package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// timeLayout is the layout of the times of events.
const timeLayout = "15:04:05.000"

// Timeline prints the events of all nodes in causal order.
type Timeline struct {
	Request ident.RequestID `long:"request" description:"only the events of one request"`
	Limit   int             `long:"most" default:"200" description:"maximum number of latest events of each node"`
}

func init() {
	commands.Add("timeline", "print the events of all nodes in causal order", &Timeline{})
}

// Execute prints one line for each event, or the events as JSON.
func (c *Timeline) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	es, err := fetchEvents(c.Request, c.Limit)
	if err != nil {
		return err
	}
	return opts.print(es, func(w *tabwriter.Writer) {
		for _, e := range es {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format(timeLayout), e.Node, e.Kind, e.Request, e.Text)
		}
	})
}

// fetchEvents returns the events of all nodes in causal order. A node whose
// events can't be read is reported on standard error and left out.
func fetchEvents(r ident.RequestID, limit int) ([]admin.Event, error) {
	cs, err := opts.allClients()
	if err != nil {
		return nil, err
	}
	lists := make([][]admin.Event, len(cs))
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			es, err := c.Timeline(r, limit)
			if err != nil {
				fmt.Fprintf(os.Stderr, "events of %s are missing: %v\n", c.Address, err)
			}
			lists[i] = es
		})
	}
	wg.Wait()
	return trace.Merge(lists...), nil
}
