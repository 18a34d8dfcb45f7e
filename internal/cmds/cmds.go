// Package cmds runs commands that register themselves, with go-flags.
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

// Exit codes of all commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is a struct whose tagged fields are its arguments.
type Command interface {
	Execute(args []string) error
}

// Exit is an error that ends the program with a code. Its text may be empty.
type Exit struct {
	Code int
	Text string
}

// Error returns the text.
func (e *Exit) Error() string { return e.Text }

// Set is the commands of one program.
type Set struct {
	program  string
	options  []group
	commands []entry
}

type group struct {
	name string
	data any
}

type entry struct {
	path, short string
	kind        reflect.Type
}

// New returns an empty set for a program.
func New(program string) *Set { return &Set{program: program} }

// Options adds options that all commands share.
func (s *Set) Options(name string, data any) {
	s.options = append(s.options, group{name, data})
}

// Add registers a command under its path, such as "config show". Each run
// gets a new value of the command's type.
func (s *Set) Add(path, short string, c Command) {
	s.commands = append(s.commands, entry{path, short, reflect.TypeOf(c).Elem()})
}

// parser builds the parser of one run.
func (s *Set) parser() *flags.Parser {
	p := flags.NewNamedParser(s.program, flags.HelpFlag|flags.PassDoubleDash)
	for _, g := range s.options {
		must(p.AddGroup(g.name, "", g.data))
	}
	parents := map[string]*flags.Command{}
	for _, e := range s.commands {
		parent := p.Command
		steps := strings.Fields(e.path)
		for _, g := range steps[:len(steps)-1] {
			if parents[g] == nil {
				parents[g] = must(parent.AddCommand(g, g+" commands", "", &struct{}{}))
			}
			parent = parents[g]
		}
		must(parent.AddCommand(steps[len(steps)-1], e.short, e.short, reflect.New(e.kind).Interface()))
	}
	return p
}

// must fails on a mistake in the tags of a command.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Run runs the command that the arguments name and returns the exit code.
func (s *Set) Run(args []string) int {
	p := s.parser()
	_, err := p.ParseArgs(args)
	return s.code(p, err)
}

func (s *Set) code(p *flags.Parser, err error) int {
	if err == nil {
		return ExitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		return s.usage(p, fe)
	}
	code := ExitFailed
	var x *Exit
	if errors.As(err, &x) {
		code = x.Code
	}
	if err.Error() != "" {
		fmt.Fprintf(os.Stderr, "%s: %s\n", s.program, err)
	}
	return code
}

func (s *Set) usage(p *flags.Parser, fe *flags.Error) int {
	if fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return ExitOK
	}
	msg := fe.Message
	if fe.Type == flags.ErrUnknownFlag {
		msg += suggestFlag(p, msg)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", s.program, msg)
	return ExitUsage
}

// suggestFlag names the known option nearest to the unknown one in a message.
func suggestFlag(p *flags.Parser, msg string) string {
	i := strings.IndexByte(msg, '`')
	j := strings.LastIndexByte(msg, '\'')
	if i < 0 || j <= i {
		return ""
	}
	name := strings.TrimLeft(msg[i+1:j], "-")
	best, bestAt := "", len(name)/2+1
	for _, o := range longNames(p) {
		if d := distance(name, o); d < bestAt {
			best, bestAt = o, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean --%s?", best)
}

func longNames(p *flags.Parser) []string {
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

// distance is the number of changed letters between two words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
