package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Exit codes in addition to those of package cmds.
const (
	exitStale     = 3
	exitRefused   = 4
	exitNoVerdict = 5
)

// defaultAdmin is the address of the node to call if none was named.
const defaultAdmin = "127.0.0.1:8081"

const callTimeout = 10 * time.Second

// opts holds the options that all commands share.
var opts globalOptions

// globalOptions select the nodes to call and the output format.
type globalOptions struct {
	Admins []string `long:"admin" env:"LABURNUM_ADMIN" env-delim:"," description:"administration address of a node, repeatable; the addresses are tried in order until a node answers (default: 127.0.0.1:8081)"`
	Token  string   `long:"token" env:"LABURNUM_ADMIN_TOKEN" description:"operators' token"`
	JSON   bool     `long:"json" description:"print JSON"`
}

// named returns the administration addresses that the caller named. An empty variable names
// none.
func (o *globalOptions) named() []string {
	return slices.DeleteFunc(slices.Clone(o.Admins), func(a string) bool { return a == "" })
}

// addresses returns the administration addresses of the nodes to call.
func (o *globalOptions) addresses() []string {
	if as := o.named(); len(as) > 0 {
		return as
	}
	return []string{defaultAdmin}
}

func (o *globalOptions) client(addr string) *admin.Client {
	return &admin.Client{Address: addr, Token: o.Token, Timeout: callTimeout}
}

// firstReachable calls f with a client of each node in turn until f returns
// something other than admin.ErrUnreachable.
func (o *globalOptions) firstReachable(f func(*admin.Client) error) error {
	var err error
	for _, a := range o.addresses() {
		err = f(o.client(a))
		if !errors.Is(err, admin.ErrUnreachable) {
			return err
		}
	}
	return err
}

// allClients returns a client for each node of the fleet that isn't dead,
// according to the first node that answers.
func (o *globalOptions) allClients() ([]*admin.Client, error) {
	var ms []admin.Member
	err := o.firstReachable(func(c *admin.Client) (err error) {
		ms, err = c.Nodes()
		return err
	})
	if err != nil {
		return nil, err
	}
	addrs := ident.SetOf[string]()
	for _, m := range ms {
		if m.State != "dead" && m.Admin != "" {
			addrs.Add(m.Admin)
		}
	}
	var cs []*admin.Client
	for _, a := range addrs.Sorted() {
		cs = append(cs, o.client(a))
	}
	return cs, nil
}

// print writes v as JSON if --json is set, and otherwise calls writeTable to write
// it as a text table.
func (o *globalOptions) print(v any, writeTable func(*tabwriter.Writer)) error {
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// show fetches a value from the first node that answers and prints it as JSON or as a text
// table, for a command without arguments.
func show[T any](args []string, fetch func(*admin.Client) (T, error), writeTable func(*tabwriter.Writer, T)) error {
	if err := noArgs(args); err != nil {
		return err
	}
	return opts.firstReachable(func(cl *admin.Client) error {
		v, err := fetch(cl)
		if err != nil {
			return err
		}
		return opts.print(v, func(w *tabwriter.Writer) { writeTable(w, v) })
	})
}

// Nodes lists the nodes of the fleet.
type Nodes struct{}

func init() {
	commands.AddOptions("Node options", &opts)
	commands.Add("nodes", "list the nodes of the fleet", &Nodes{})
}

// Execute prints the nodes as reported by the first one that answers.
func (c *Nodes) Execute(args []string) error {
	return show(args, (*admin.Client).Nodes, func(w *tabwriter.Writer, ms []admin.Member) {
		fmt.Fprintln(w, "NODE\tSTATE\tDATA CENTRE\tVERSION\tCALLERS\tADMIN\tHEARD")
		for _, m := range ms {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s ago\n", m.Name, m.State, m.DataCentre, m.Version, m.Caller, m.Admin, time.Since(m.Heard).Round(time.Millisecond))
		}
	})
}

// noArgs returns a usage error if there are arguments.
func noArgs(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usagef("unexpected argument %q", args[0])
}

// usagef returns an error with the exit code for invalid usage.
func usagef(format string, args ...any) error {
	return &cmds.ExitError{Code: cmds.ExitUsage, Text: fmt.Sprintf(format, args...)}
}
