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

const stampFormat = "15:04:05.000"

// Timeline prints the merged events of all nodes.
type Timeline struct {
	Request ident.RequestID `long:"request" description:"only the events of one request"`
	Limit   int             `long:"most" default:"200" description:"largest number of events of each node"`
}

func init() {
	commands.Add("timeline", "print the events of all nodes, causes before effects", &Timeline{})
}

// Execute prints the events.
func (c *Timeline) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	es, err := fetchEvents(c.Request, c.Limit)
	if err != nil {
		return err
	}
	return nodes.print(es, func(w *tabwriter.Writer) {
		for _, e := range es {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format(stampFormat), e.Node, e.Kind, e.Request, e.Text)
		}
	})
}

// fetchEvents returns the merged events of all nodes. If a node doesn't answer,
// it prints its address on standard error and continues without its events.
func fetchEvents(r ident.RequestID, limit int) ([]admin.Event, error) {
	cs, err := nodes.allClients()
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
