package main

import (
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ConfigVerdict prints the verdict on a previously submitted patch.
type ConfigVerdict struct {
	Args struct {
		ID ident.PatchID `positional-arg-name:"ID" description:"patch ID, from the output of config patch or config history"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	commands.Add("config verdict", "print the verdict on a previously submitted patch", &ConfigVerdict{})
}

// Execute prints the verdict. It uses the same exit codes as config patch.
func (c *ConfigVerdict) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	var v admin.Verdict
	err := opts.firstReachable(func(cl *admin.Client) (err error) {
		v, err = cl.Verdict(c.Args.ID)
		return err
	})
	if errors.Is(err, admin.ErrNotFound) {
		return reportNoVerdict(c.Args.ID)
	}
	if err != nil {
		return err
	}
	return reportVerdict(v)
}
