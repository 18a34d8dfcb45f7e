package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/check"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Exit codes of config check.
const (
	exitWarnings   = 1
	exitErrors     = 2
	exitUnreadable = 3
)

// ConfigCheck checks a document, or a patch, and changes nothing.
type ConfigCheck struct {
	Patch bool `long:"patch" description:"check the file as a JSON merge patch of the version in force"`
	Whole bool `long:"whole" description:"check only the file, without a node"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"file with a complete document, or with --patch a JSON merge patch; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("config check", "check a document or a patch without submitting it", &ConfigCheck{})
}

// checkResult is what config check prints.
type checkResult struct {
	Findings check.Findings
	// Version is the version in force; nil if no node was asked.
	Version     *ident.Version     `json:",omitempty"`
	Differences []check.Difference `json:",omitempty"`
}

// Execute prints the findings and the differences from the version in force.
func (c *ConfigCheck) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	if c.Patch && c.Whole {
		return usagef("--patch and --whole exclude each other")
	}
	raw, err := readInput(c.Args.File)
	if err != nil {
		return unreadable(err)
	}
	var r checkResult
	if c.Patch {
		r, err = checkPatch(raw)
	} else {
		r, err = c.checkDocument(raw)
	}
	if err != nil {
		return unreadable(err)
	}
	return r.report()
}

// unreadable returns an error with the exit code for a file or a node that can't be read.
func unreadable(err error) error {
	return &cmds.ExitError{Code: exitUnreadable, Text: err.Error()}
}

// checkDocument checks a document. If a node was named and there is no error, it compares the
// document with the version in force.
func (c *ConfigCheck) checkDocument(raw []byte) (checkResult, error) {
	d, fs := check.Raw(raw)
	r := checkResult{Findings: fs}
	if d == nil || len(opts.named()) == 0 || c.Whole {
		return r, nil
	}
	v, err := configInForce()
	if err != nil {
		return r, err
	}
	return r, r.compare(v, d)
}

// checkPatch checks the document that a patch makes of the version in force, also by the
// rules of the node's build.
func checkPatch(raw []byte) (checkResult, error) {
	if err := confg.CheckPatch(raw); err != nil {
		return checkResult{Findings: check.Errors(confg.Problems{{Path: "(patch)", Why: err.Error()}})}, nil
	}
	var reply admin.CheckReply
	err := opts.firstReachable(func(cl *admin.Client) (err error) {
		reply, err = cl.Check(raw)
		return err
	})
	if err != nil {
		return checkResult{}, err
	}
	if len(reply.Problems) > 0 {
		return checkResult{Findings: check.Errors(reply.Problems)}, nil
	}
	v, err := configInForce()
	if err != nil {
		return checkResult{}, err
	}
	merged, err := confg.Merge(v.Document, raw)
	if err != nil {
		return checkResult{}, err
	}
	d, fs := check.Raw(merged)
	r := checkResult{Findings: fs}
	if d == nil {
		return r, nil
	}
	return r, r.compare(v, d)
}

// configInForce reads the version in force from the first node that answers.
func configInForce() (v admin.Config, err error) {
	err = opts.firstReachable(func(cl *admin.Client) (err error) {
		v, err = cl.Config()
		return err
	})
	return v, err
}

// compare adds the differences of a document from the version in force.
func (r *checkResult) compare(v admin.Config, d *confg.Document) error {
	old, ps := confg.Parse(v.Document)
	if len(ps) > 0 {
		return errors.Errorf("version %d in force can't be read by this build: %s", v.Version, ps)
	}
	r.Version, r.Differences = &v.Version, check.Diff(old, d)
	return nil
}

// report prints the result, and returns an error with the exit code for its findings.
func (r *checkResult) report() error {
	if r.Findings == nil {
		r.Findings = check.Findings{}
	}
	if err := opts.print(r, r.writeTable); err != nil {
		return err
	}
	switch {
	case r.Findings.Has(check.Error):
		return &cmds.ExitError{Code: exitErrors}
	case r.Findings.Has(check.Warning):
		return &cmds.ExitError{Code: exitWarnings}
	}
	return nil
}

func (r *checkResult) writeTable(w *tabwriter.Writer) {
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "no findings")
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Level, f.Path, f.Why)
	}
	if r.Version == nil {
		return
	}
	fmt.Fprintf(w, "%d differences from version %d\n", len(r.Differences), *r.Version)
	for _, d := range r.Differences {
		switch {
		case d.Old == nil:
			fmt.Fprintf(w, "added\t%s\t%s\n", d.Path, d.New)
		case d.New == nil:
			fmt.Fprintf(w, "removed\t%s\t%s\n", d.Path, d.Old)
		default:
			fmt.Fprintf(w, "changed\t%s\t%s to %s\n", d.Path, d.Old, d.New)
		}
	}
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
