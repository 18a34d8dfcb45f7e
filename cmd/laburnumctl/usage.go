package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/pkg/admin"
)

// Usage prints or plots the usage of all workspaces.
type Usage struct {
	CSV  bool   `long:"csv" description:"print comma-separated values"`
	Plot string `long:"plot" description:"write a plot of endpoint seconds by workspace and hour, as SVG or PNG according to the file's extension"`
}

func init() {
	commands.Add("usage", "print the usage by workspace, route, model and hour", &Usage{})
}

// Execute prints the usage summed over all nodes.
func (c *Usage) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	return opts.firstReachable(func(cl *admin.Client) error {
		rows, err := cl.Usage()
		if err != nil {
			return err
		}
		if c.Plot != "" {
			return plotUsage(c.Plot, rows)
		}
		if c.CSV {
			return writeCSV(rows)
		}
		return opts.print(rows, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "HOUR\tWORKSPACE\tROUTE\tMODEL\tREQUESTS\tREFUSALS\tPROMPT TOKENS\tGENERATED\tENDPOINT SECONDS")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\n", r.Hour.Format("2006-01-02 15:04"), r.Workspace, r.Route, r.Model, r.Requests, r.Refusals, r.PromptTokens, r.GeneratedTokens, r.EndpointSeconds)
			}
		})
	})
}

func writeCSV(rows []admin.UsageRow) error {
	w := csv.NewWriter(os.Stdout)
	w.Write([]string{"Hour", "Workspace", "Route", "Model", "Requests", "Refusals", "PromptTokens", "GeneratedTokens", "EndpointSeconds"})
	for _, r := range rows {
		w.Write([]string{
			r.Hour.Format(time.RFC3339), string(r.Workspace), string(r.Route), string(r.Model),
			strconv.FormatInt(r.Requests, 10), strconv.FormatInt(r.Refusals, 10),
			strconv.FormatInt(int64(r.PromptTokens), 10), strconv.FormatInt(int64(r.GeneratedTokens), 10),
			strconv.FormatFloat(r.EndpointSeconds, 'f', 3, 64),
		})
	}
	w.Flush()
	return w.Error()
}
