// Package cmds parses command lines with go-flags and runs the commands that a
// program registered.
package cmds

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// Exit codes that all commands use.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is a pointer to a struct whose tagged fields are the options and
// arguments of the command, as go-flags defines them.
type Command interface {
	// Execute runs the command with the arguments left after parsing.
	Execute(args []string) error
}

// ExitError is an error of a command with the exit code of the program.
type ExitError struct {
	Code int
	// Text is printed on standard error unless it is empty.
	Text string
}

// Error returns the text of the error.
func (e *ExitError) Error() string { return e.Text }

// Registry holds the commands of one program and the options they share.
type Registry struct {
	program  string
	options  []group
	commands []registration
}

// group is a named group of options that all commands share.
type group struct {
	name    string
	options any
}

// registration is a registered command.
type registration struct {
	path, summary string
	commandType   reflect.Type
}

// New returns an empty registry for the program with the given name.
func New(program string) *Registry { return &Registry{program: program} }

// AddOptions adds a named group of options that all commands share. The options
// are a pointer to a struct with tagged fields. Run doesn't reset the struct:
// options without a default keep their values from an earlier run.
func (r *Registry) AddOptions(name string, options any) {
	r.options = append(r.options, group{name, options})
}

// Add registers a command under its path, such as "config show". Each run uses
// a new value of the command's type.
func (r *Registry) Add(path, summary string, c Command) {
	r.commands = append(r.commands, registration{path, summary, reflect.TypeOf(c).Elem()})
}

// newParser returns a parser with all options and commands. It adds a parent
// command for each word of a path except the last.
func (r *Registry) newParser() *flags.Parser {
	p := flags.NewNamedParser(r.program, flags.HelpFlag|flags.PassDoubleDash)
	for _, g := range r.options {
		must(p.AddGroup(g.name, "", g.options))
	}
	parents := map[string]*flags.Command{}
	for _, e := range r.commands {
		parent := p.Command
		names := strings.Fields(e.path)
		for _, n := range names[:len(names)-1] {
			if parents[n] == nil {
				parents[n] = must(parent.AddCommand(n, n+" commands", "", &struct{}{}))
			}
			parent = parents[n]
		}
		must(parent.AddCommand(names[len(names)-1], e.summary, e.summary, reflect.New(e.commandType).Interface()))
	}
	return p
}

// must panics if err isn't nil, which means that the tags of a command are
// invalid.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Run parses the arguments, runs the command and returns the exit code.
func (r *Registry) Run(args []string) int {
	p := r.newParser()
	_, err := p.ParseArgs(args)
	return r.reportError(p, err)
}

// reportError prints err unless it is nil, and returns the exit code for it.
func (r *Registry) reportError(p *flags.Parser, err error) int {
	if err == nil {
		return ExitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		return r.reportParseError(p, fe)
	}
	code := ExitFailed
	var exit *ExitError
	if errors.As(err, &exit) {
		code = exit.Code
	}
	if err.Error() != "" {
		fmt.Fprintf(os.Stderr, "%s: %s\n", r.program, err)
	}
	return code
}

// reportParseError prints the help if it was requested, and otherwise the error
// of the parser. It returns the exit code.
func (r *Registry) reportParseError(p *flags.Parser, fe *flags.Error) int {
	if fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return ExitOK
	}
	msg := fe.Message
	if fe.Type == flags.ErrUnknownFlag {
		msg += suggestOption(p, msg)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", r.program, msg)
	return ExitUsage
}

// suggestOption returns a hint with the option most similar to the unknown one
// in the parser's message, or "" if none is similar.
func suggestOption(p *flags.Parser, msg string) string {
	i := strings.IndexByte(msg, '`')
	j := strings.LastIndexByte(msg, '\'')
	if i < 0 || j <= i {
		return ""
	}
	name := strings.TrimLeft(msg[i+1:j], "-")
	best, bestDistance := "", len(name)/2+1
	for _, o := range optionNames(p) {
		if d := editDistance(name, o); d < bestDistance {
			best, bestDistance = o, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean --%s?", best)
}

// optionNames returns the long names of all options in sorted order.
func optionNames(p *flags.Parser) []string {
	var ns []string
	var walk func(c *flags.Command)
	walk = func(c *flags.Command) {
		for _, g := range c.Groups() {
			for _, o := range g.Options() {
				ns = append(ns, o.LongName)
			}
		}
		for _, o := range c.Options() {
			ns = append(ns, o.LongName)
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(p.Command)
	slices.Sort(ns)
	return slices.Compact(ns)
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
