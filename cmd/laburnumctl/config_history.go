package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/pkg/admin"
)

// ConfigHistory lists the patches and their verdicts.
type ConfigHistory struct{}

func init() {
	commands.Add("config history", "list the patches and their verdicts", &ConfigHistory{})
}

// Execute prints each patch with its time, author, base and verdict.
func (c *ConfigHistory) Execute(args []string) error {
	return show(args, (*admin.Client).History, func(w *tabwriter.Writer, vs []admin.Verdict) {
		fmt.Fprintln(w, "OFFSET\tTIME\tAUTHOR\tBASE\tVERDICT\tVERSION\tPATCH")
		for _, v := range vs {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%d\t%s\n", v.Offset, v.At.Format(time.RFC3339), v.Author, v.Base, v.Result, v.Version, v.PatchID)
		}
	})
}
