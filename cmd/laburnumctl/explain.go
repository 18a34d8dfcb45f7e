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

// Explain prints the events of one request, or the log lines about a request, an
// endpoint or a configuration version.
type Explain struct {
	Logs []string `long:"log" value-name:"FILE" description:"read the log lines of nodes from a file, or - for standard input, instead of asking the nodes; repeatable"`
	Args struct {
		Request ident.RequestID `positional-arg-name:"REQUEST" description:"request ID; with --log also an endpoint name or a configuration version"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("explain", "explain what happened to a request, or with --log to an endpoint or a configuration version", &Explain{})
}

// maxEvents is the maximum number of events read from each node.
const maxEvents = 1000

// Execute prints one sentence for each event of the request, or the log lines
// about it if log files are given.
func (c *Explain) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	es, err := fetchEvents(c.Args.Request, maxEvents)
	if err != nil {
		return err
	}
	if len(es) == 0 {
		return &cmds.ExitError{Code: cmds.ExitFailed, Text: "no node has events of request " + string(c.Args.Request)}
	}
	return opts.print(es, func(w *tabwriter.Writer) {
		start := es[0].Stamp.Time()
		fmt.Fprintf(w, "Request %s came at %s.\n", c.Args.Request, start.UTC().Format(time.RFC3339))
		for _, e := range es {
			fmt.Fprintf(w, "After %s, node %s: %s.\n", e.Stamp.Time().Sub(start), e.Node, sentence(e))
		}
	})
}

// fromLogs prints the log lines about the subject: a request, an endpoint or a
// configuration version.
func (c *Explain) fromLogs() error {
	var all []trace.Line
	for _, name := range c.Logs {
		lines, err := readLog(name)
		if err != nil {
			return &cmds.ExitError{Code: cmds.ExitUsage, Text: err.Error()}
		}
		all = append(all, lines...)
	}
	subject := string(c.Args.Request)
	lines := trace.LinesAbout(all, subject)
	if len(lines) == 0 {
		return &cmds.ExitError{Code: cmds.ExitFailed, Text: "no log line mentions " + subject}
	}
	for _, l := range lines {
		fmt.Printf("%s  %s  %s%s\n", l.At.UTC().Format("15:04:05.000"), l.Node, l.Text, details(l, subject))
	}
	return nil
}

// readLog reads the log lines from a file, or from standard input for "-".
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

// details formats the fields of a line, except those whose value is the subject,
// an empty list or empty.
func details(l trace.Line, subject string) string {
	var sb strings.Builder
	for _, f := range l.Fields {
		if f.Value == "" || f.Value == subject || f.Value == "[]" {
			continue
		}
		fmt.Fprintf(&sb, ", %s %s", f.Name, f.Value)
	}
	return sb.String()
}

// sentence returns a description of an event, without a final full stop.
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
