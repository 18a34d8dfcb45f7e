package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/demo"
	"laburnumstack.org/laburnum/internal/lab/fleet"
)

const (
	// demoDrainDelay is how long a stopping node reports not ready before it waits
	// for its last requests and closes its listeners.
	demoDrainDelay = 500 * time.Millisecond
	// maxDemoDuration is the maximum of --for.
	maxDemoDuration = 40 * time.Second
)

// Demo runs a fleet under load, injects failures and checks the invariants.
type Demo struct {
	Fleet string        `long:"fleet" default:"duct" description:"example fleet: duct or grozs"`
	Seed  uint64        `long:"seed" default:"1" description:"seed of all random choices of the load"`
	For   time.Duration `long:"for" default:"10s" description:"duration of the load, at most 40s"`
	JSON  bool          `long:"json" description:"print the report as JSON"`
}

func init() {
	commands.Add("demo", "run a fleet under load with failures and check the invariants", &Demo{})
}

// Execute runs the demo and fails if an invariant was broken.
func (d *Demo) Execute(_ []string) error {
	if d.For < time.Second || d.For > maxDemoDuration {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: fmt.Sprintf("--for must be from 1s to %s", maxDemoDuration)}
	}
	plan, err := planOf(d.Fleet)
	if err != nil {
		return err
	}
	f := &fleet.Fleet{Plan: plan, Seed: d.Seed, Logger: zerolog.Nop(), DrainDelay: demoDrainDelay}
	if err := f.Start(context.Background()); err != nil {
		return err
	}
	defer f.Stop()
	run := &demo.Demo{Fleet: f, Seed: d.Seed, Duration: d.For, Progress: progressWriter()}
	outcome, err := run.Run(context.Background())
	if err != nil {
		return err
	}
	return d.print(outcome)
}

// print prints the outcome, and returns an error if an invariant was broken.
func (d *Demo) print(o *demo.Outcome) error {
	if d.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(o); err != nil {
			return err
		}
	} else {
		o.WriteText(os.Stdout)
	}
	if !o.Held {
		return &cmds.ExitError{Code: cmds.ExitFailed, Text: "an invariant was broken"}
	}
	return nil
}

// progressWriter returns a function that shows the progress on standard error,
// or nil if that isn't a terminal.
func progressWriter() func(string, int64, int64) {
	st, err := os.Stderr.Stat()
	if err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(phase string, sent, ended int64) {
		fmt.Fprintf(os.Stderr, "\r%-28s %6d sent %6d ended", phase, sent, ended)
	}
}
