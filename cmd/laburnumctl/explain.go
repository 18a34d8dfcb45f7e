package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Explain tells the story of one request.
type Explain struct {
	Logs []string `long:"log" value-name:"FILE" description:"read the log lines of nodes from a file, or - for standard input, instead of asking the nodes; may be given again"`
	Args struct {
		Request ident.RequestID `positional-arg-name:"REQUEST" description:"id of the request"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("explain", "tell the story of one request; from logs also of an endpoint or a version", &Explain{})
}

const explainMost = 1000

// Execute prints one sentence for each event of the request.
func (c *Explain) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	es, err := gather(c.Args.Request, explainMost)
	if err != nil {
		return err
	}
	if len(es) == 0 {
		return &cmds.Exit{Code: cmds.ExitFailed, Text: "no node remembers request " + string(c.Args.Request)}
	}
	return nodes.print(es, func(w *tabwriter.Writer) {
		start := es[0].Stamp.Time()
		fmt.Fprintf(w, "Request %s came at %s.\n", c.Args.Request, start.UTC().Format(time.RFC3339))
		for _, e := range es {
			fmt.Fprintf(w, "After %s, node %s: %s.\n", e.Stamp.Time().Sub(start), e.Node, sentence(e))
		}
	})
}

// fromLogs tells the story from the lines that nodes logged.
func (c *Explain) fromLogs() error {
	var ls []trace.Line
	for _, name := range c.Logs {
		more, err := readLog(name)
		if err != nil {
			return &cmds.Exit{Code: cmds.ExitUsage, Text: err.Error()}
		}
		ls = append(ls, more...)
	}
	about := string(c.Args.Request)
	story := trace.LinesAbout(ls, about)
	if len(story) == 0 {
		return &cmds.Exit{Code: cmds.ExitFailed, Text: "no line tells of " + about}
	}
	for _, l := range story {
		fmt.Printf("%s  %s  %s%s\n", l.At.UTC().Format("15:04:05.000"), l.Node, l.Text, details(l, about))
	}
	return nil
}

func readLog(name string) ([]trace.Line, error) {
	if name == "-" {
		return trace.ReadLines(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return trace.ReadLines(f)
}

// details lists the values of a line beside what it is about.
func details(l trace.Line, about string) string {
	var sb strings.Builder
	for _, f := range l.Fields {
		if f.Value == "" || f.Value == about || f.Value == "[]" {
			continue
		}
		fmt.Fprintf(&sb, ", %s %s", f.Name, f.Value)
	}
	return sb.String()
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
