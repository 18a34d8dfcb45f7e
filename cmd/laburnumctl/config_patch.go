package main

import (
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	verdictPollInterval = 250 * time.Millisecond
	// verdictPollTimeout bounds polling the nodes for the verdict if submitting
	// the patch didn't return it.
	verdictPollTimeout = 5 * time.Second
)

// ConfigPatch submits a patch and waits for its verdict.
type ConfigPatch struct {
	Base   *uint64 `long:"base" description:"version that the patch was written against" required:"true"`
	Author string  `long:"author" env:"LABURNUM_AUTHOR" description:"author's name in the history; by default the operating system's user name"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"file with a JSON merge patch; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("config patch", "submit a patch and wait for its verdict", &ConfigPatch{})
}

// Execute submits the patch once and prints its verdict.
func (c *ConfigPatch) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	raw, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	if err := confg.CheckPatch(raw); err != nil {
		return reportProblems(confg.Problems{{Path: "(patch)", Why: err.Error()}})
	}
	p := admin.PatchRequest{ID: ident.PatchID(ident.NewID()), Base: ident.Version(*c.Base), Author: c.author(), Merge: raw}
	v, err := submit(p)
	if errors.Is(err, admin.ErrNoVerdict) {
		return reportNoVerdict(p.ID)
	}
	if err != nil {
		return err
	}
	return reportVerdict(v)
}

// author returns the author's name for the history: the option, or the name of
// the operating system's user.
func (c *ConfigPatch) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// submit sends a patch to the first node that answers. It never sends the patch
// twice: if the verdict is lost, it polls the nodes for it.
func submit(p admin.PatchRequest) (admin.Verdict, error) {
	var v admin.Verdict
	sent := false
	err := opts.firstReachable(func(cl *admin.Client) error {
		if _, err := cl.Config(); err != nil {
			return err
		}
		sent = true
		var err error
		v, err = cl.Patch(p)
		if errors.Is(err, admin.ErrUnreachable) {
			return admin.ErrNoVerdict
		}
		return err
	})
	if sent && errors.Is(err, admin.ErrNoVerdict) {
		return pollVerdict(p.ID)
	}
	return v, err
}

// pollVerdict polls all nodes in rounds until one has the verdict. It starts no
// round after verdictPollTimeout, but each node that doesn't answer prolongs the
// last round by up to callTimeout.
func pollVerdict(id ident.PatchID) (admin.Verdict, error) {
	for end := time.Now().Add(verdictPollTimeout); time.Now().Before(end); time.Sleep(verdictPollInterval) {
		for _, a := range opts.addresses() {
			if v, err := opts.client(a).Verdict(id); err == nil {
				return v, nil
			}
		}
	}
	return admin.Verdict{}, admin.ErrNoVerdict
}

// reportNoVerdict prints that the outcome of a patch is unknown, and returns an
// error with the exit code exitNoVerdict.
func reportNoVerdict(id ident.PatchID) error {
	fmt.Fprintf(os.Stderr, "no verdict in time, the patch may or may not be accepted; ask again with: laburnumctl config verdict %s\n", id)
	if err := opts.print(admin.Verdict{PatchID: id}, func(w *tabwriter.Writer) { fmt.Fprintln(w, id) }); err != nil {
		return err
	}
	return &cmds.ExitError{Code: exitNoVerdict}
}

// reportVerdict prints a verdict, and returns an error unless the patch was
// accepted.
func reportVerdict(v admin.Verdict) error {
	err := opts.print(v, func(w *tabwriter.Writer) {
		switch v.Result {
		case admin.Accepted:
			fmt.Fprintf(w, "accepted, version %d\n", v.Version)
		case admin.Stale:
			fmt.Fprintf(w, "stale, the patch was written against version %d, current is version %d\n", v.Base, v.Version)
		default:
			fmt.Fprintf(w, "refused, version %d stays:\n%s\n", v.Version, v.Problems)
		}
	})
	if err != nil {
		return err
	}
	switch v.Result {
	case admin.Accepted:
		return nil
	case admin.Stale:
		return &cmds.ExitError{Code: exitStale}
	default:
		return &cmds.ExitError{Code: exitRefused}
	}
}

// reportProblems prints the problems of a patch and fails.
func reportProblems(ps confg.Problems) error {
	err := opts.print(admin.CheckReply{Problems: ps}, func(w *tabwriter.Writer) { fmt.Fprintln(w, ps) })
	if err != nil {
		return err
	}
	return &cmds.ExitError{Code: exitRefused}
}
