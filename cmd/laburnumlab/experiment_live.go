package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/exper"
	"laburnumstack.org/laburnum/internal/lab/fleet"
)

// maxNodes is the maximum number of nodes of a fleet. They all run in this
// process.
const maxNodes = 40

// ExperimentConfig measures the time until patches are in force at all nodes.
type ExperimentConfig struct {
	Nodes   int `long:"nodes" default:"7" description:"number of nodes"`
	Patches int `long:"patches" default:"100" description:"number of patches"`
}

// ExperimentBookings measures the latency of bookings and the rate of appends to
// the log at several booking rates.
type ExperimentBookings struct {
	Nodes int           `long:"nodes" default:"7" description:"number of nodes"`
	Rates []int         `long:"rate" description:"bookings per second, repeatable; 10, 100 and 400 if none is given"`
	For   time.Duration `long:"for" default:"5s" description:"duration of the measurement at each rate"`
}

func init() {
	commands.Add("experiment config", "measure the time until patches are in force at all nodes", &ExperimentConfig{})
	commands.Add("experiment bookings", "measure booking latency and log appends at several booking rates", &ExperimentBookings{})
}

// withFleet starts the duct fleet with the given number of nodes and two engines,
// calls f with it and stops it.
func withFleet(nodes int, f func(*fleet.Fleet) error) error {
	if nodes < 1 || nodes > maxNodes {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: fmt.Sprintf("--nodes must be from 1 to %d", maxNodes)}
	}
	plan, err := planOf("duct")
	if err != nil {
		return err
	}
	plan.Nodes, plan.Engines = nodes, 2
	fl := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop()}
	if err := fl.Start(context.Background()); err != nil {
		return err
	}
	defer fl.Stop()
	return f(fl)
}

// Execute submits the patches and prints percentiles of the times.
func (c *ExperimentConfig) Execute(_ []string) error {
	return withFleet(c.Nodes, func(f *fleet.Fleet) error {
		times, err := exper.MeasureConfigPropagation(f, c.Patches)
		if err != nil || len(times) == 0 {
			return err
		}
		n := len(times)
		fmt.Printf("%d nodes, %d patches, from the verdict until in force everywhere: p50 %s, p99 %s, longest %s\n",
			c.Nodes, n, times[n/2], times[n*99/100], times[n-1])
		return nil
	})
}

// Execute measures each rate and prints a line for it.
func (c *ExperimentBookings) Execute(_ []string) error {
	if len(c.Rates) == 0 {
		c.Rates = []int{10, 100, 400}
	}
	return withFleet(c.Nodes, func(f *fleet.Fleet) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "bookings a second\tp50\tp99\tdirect p50\tappends a second\tfailed")
		for _, r := range c.Rates {
			if r < 1 {
				return &cmds.ExitError{Code: cmds.ExitUsage, Text: "--rate must be at least 1"}
			}
			b := exper.MeasureBookings(context.Background(), f, r, c.For)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.0f\t%d\n", b.Rate, b.P50, b.P99, b.DirectP50, b.AppendsPerSecond, b.Failed)
		}
		return w.Flush()
	})
}
