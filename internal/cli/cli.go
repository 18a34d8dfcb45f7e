// Package cli runs commands that register themselves, with go-flags.
package cli

import (
	"fmt"
	"os"
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
	parser *flags.Parser
	// groups holds the commands that only contain others.
	groups map[string]*flags.Command
}

// New returns an empty set for a program.
func New(program string) *Set {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = false
	return &Set{parser: p, groups: map[string]*flags.Command{}}
}

// Options adds options that all commands share.
func (s *Set) Options(name string, data any) {
	if _, err := s.parser.AddGroup(name, "", data); err != nil {
		panic(err)
	}
}

// Add registers a command under its path, such as "config show".
func (s *Set) Add(path, short string, c Command) {
	parent := s.parser.Command
	steps := strings.Fields(path)
	for _, g := range steps[:len(steps)-1] {
		parent = s.group(parent, g)
	}
	if _, err := parent.AddCommand(steps[len(steps)-1], short, short, c); err != nil {
		panic(err)
	}
}

func (s *Set) group(parent *flags.Command, name string) *flags.Command {
	if g, ok := s.groups[name]; ok {
		return g
	}
	g, err := parent.AddCommand(name, name+" commands", "", &struct{}{})
	if err != nil {
		panic(err)
	}
	s.groups[name] = g
	return g
}

// Run runs the command that the arguments name and returns the exit code.
func (s *Set) Run(args []string) int {
	_, err := s.parser.ParseArgs(args)
	return s.code(err)
}

func (s *Set) code(err error) int {
	if err == nil {
		return ExitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		return s.usage(fe)
	}
	code := ExitFailed
	var x *Exit
	if errors.As(err, &x) {
		code = x.Code
	}
	if err.Error() != "" {
		fmt.Fprintf(os.Stderr, "%s: %s\n", s.parser.Name, err)
	}
	return code
}

func (s *Set) usage(fe *flags.Error) int {
	if fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return ExitOK
	}
	msg := fe.Message
	if fe.Type == flags.ErrUnknownFlag {
		msg += s.suggestFlag(msg)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", s.parser.Name, msg)
	return ExitUsage
}

// suggestFlag names the known option nearest to the unknown one in a message.
func (s *Set) suggestFlag(msg string) string {
	i := strings.IndexByte(msg, '`')
	j := strings.LastIndexByte(msg, '\'')
	if i < 0 || j <= i {
		return ""
	}
	name := strings.TrimLeft(msg[i+1:j], "-")
	best, bestAt := "", len(name)/2+1
	for _, o := range s.longNames() {
		if d := distance(name, o); d < bestAt {
			best, bestAt = o, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean --%s?", best)
}

func (s *Set) longNames() []string {
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
	walk(s.parser.Command)
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
