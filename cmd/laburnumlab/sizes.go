package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/sizes"
	"laburnumstack.org/laburnum/internal/state/trace"
)

// Sizes prints how often the prompts of each size class were served in runs.
type Sizes struct {
	Args struct {
		Logs []string `positional-arg-name:"FILE" required:"1" description:"log lines of all nodes in one run, or - for standard input; repeatable"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("sizes", "read the log lines of runs, and print how often the prompts of each size class were served", &Sizes{})
}

// Execute prints a line for each file and route, and for several files one for all
// together. Routes of different files may have different names, so all of them are added.
func (c *Sizes) Execute(_ []string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	var together sizes.Results
	for _, name := range c.Args.Logs {
		ls, err := readLines(name)
		if err != nil {
			return &cmds.ExitError{Code: cmds.ExitUsage, Text: err.Error()}
		}
		counts := sizes.Count(ls)
		for _, route := range slices.Sorted(maps.Keys(counts)) {
			rs := counts[route]
			sizes.Write(w, fmt.Sprintf("%s %s", name, route), rs)
			together.Add(rs)
		}
	}
	if len(c.Args.Logs) > 1 {
		sizes.Write(w, "together", together)
	}
	return w.Flush()
}

// readLines reads log lines from a file, or from standard input for "-".
func readLines(name string) ([]trace.Line, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		r = f
	}
	return trace.ReadLines(r)
}
