package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/confg"
)

// ConfigCheck checks a patch or a whole document without submitting it.
type ConfigCheck struct {
	Whole bool `long:"whole" description:"check the file as a complete document, without calling a node"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"file with a JSON merge patch, or a document with --whole; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("config check", "check a patch or a document without submitting it", &ConfigCheck{})
}

// Execute prints the problems of the file and fails if there are any.
func (c *ConfigCheck) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	raw, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	if c.Whole {
		_, ps := confg.Parse(raw)
		return reportProblems(ps)
	}
	if err := confg.CheckPatch(raw); err != nil {
		return reportProblems(confg.Problems{{Path: "(patch)", Why: err.Error()}})
	}
	return opts.firstReachable(func(cl *admin.Client) error {
		r, err := cl.Check(raw)
		if err != nil {
			return err
		}
		return reportProblems(r.Problems)
	})
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return raw, nil
}

// reportProblems prints problems and fails if there are any.
func reportProblems(ps confg.Problems) error {
	err := opts.print(admin.CheckReply{Problems: ps}, func(w *tabwriter.Writer) {
		if len(ps) == 0 {
			fmt.Fprintln(w, "no problems")
			return
		}
		fmt.Fprintln(w, ps)
	})
	if err != nil || len(ps) == 0 {
		return err
	}
	return &cmds.ExitError{Code: exitRefused}
}
