package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/soak"
	"laburnumstack.org/laburnum/platform/stand"
)

// Soak runs nodes as processes, injects faults into the nodes, the store and the
// endpoints, and checks the guarantees given to callers.
type Soak struct {
	Programs    []string      `long:"program" required:"true" description:"path of the node's executable; if given several times, the nodes run these builds in turn"`
	Seed        uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds       int           `long:"seeds" default:"1" description:"number of seeds"`
	For         time.Duration `long:"for" default:"20s" description:"duration of the faults"`
	Calm        time.Duration `long:"calm" default:"3s" description:"fault-free time before and after the faults"`
	Nodes       int           `long:"nodes" default:"4" description:"number of nodes"`
	Endpoints   int           `long:"endpoints" default:"5" description:"number of endpoints of each service"`
	Drills      bool          `long:"drills" description:"also losses of the store beside restarts of nodes"`
	BasicFaults bool          `long:"basic-faults" description:"no losses of the store, limits of endpoints, large configurations, cuts of single nodes, crashing parts, statements of endpoints, evacuations, cold endpoints and faults beside callers' connections"`
	Callers     int           `long:"callers" default:"24" description:"number of callers"`
	Dir         string        `long:"dir" description:"parent directory of each seed's settings and logs, which are kept if the seed fails"`
	Quiet       bool          `long:"quiet" description:"don't print each fault"`
}

func init() {
	commands.Add("soak", "inject faults into nodes that run as processes and check the guarantees", &Soak{})
}

// Execute runs the seeds one after the other and fails if there was a violation
// in any of them.
func (c *Soak) Execute(_ []string) error {
	if c.Seeds < 1 || c.Nodes < 1 || c.Endpoints < 1 || c.Callers < 1 || c.For <= 0 || c.Calm < 0 {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: "--seeds, --nodes, --endpoints and --callers must be at least 1, --for above 0, --calm not negative"}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	failed := 0
	for i := range c.Seeds {
		ok, err := c.runSeed(ctx, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return &cmds.ExitError{Code: cmds.ExitFailed, Text: fmt.Sprintf("%d of %d seeds failed", failed, c.Seeds)}
	}
	return nil
}

// runSeed runs one seed, prints its result and reports whether there were no
// violations. In that case it removes the settings and logs.
func (c *Soak) runSeed(ctx context.Context, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	var out io.Writer = os.Stdout
	if c.Quiet {
		out = io.Discard
	}
	var programs []string
	for _, p := range c.Programs {
		absolute, err := filepath.Abs(p)
		if err != nil {
			return false, err
		}
		programs = append(programs, absolute)
	}
	s := &soak.Soak{
		Programs: programs, Deployment: stand.Deployment{}, Dir: dir, Seed: seed, FaultTime: c.For, FaultFreeTime: c.Calm,
		Nodes: c.Nodes, Endpoints: c.Endpoints, Callers: c.Callers, Bounds: soak.UserBounds(), Output: out,
		Drills: c.Drills, StateFaults: !c.BasicFaults, LinkFaults: !c.BasicFaults, ConnFaults: !c.BasicFaults,
		CapacityFaults: !c.BasicFaults,
	}
	r, err := s.Run(ctx)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused or failed, %d cut, %d violations\n", seed, r.Faults, r.Requests, r.Served, r.Failed, r.Incomplete, len(r.Violations))
	fmt.Printf("  %d evacuations, which nodes had to know of %d times; endpoints were cold %d times and got up to %d requests in a second\n", r.Capacity.Evacuations, r.Capacity.Informed, r.Capacity.Cold, r.Capacity.MaxCold)
	for _, v := range r.Violations {
		fmt.Printf("  %s: %s\n", v.Rule, v.Text)
	}
	if len(r.Violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	fmt.Printf("  settings and logs: %s\n", dir)
	return false, nil
}
