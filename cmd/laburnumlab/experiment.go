package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/exper"
)

// maxSeeds is the maximum number of seeds of one run.
const maxSeeds = 20

// ExperimentRoute compares routing policies in virtual time.
type ExperimentRoute struct {
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   int           `long:"seeds" default:"1" description:"number of seeds"`
	Load    int           `long:"load" default:"80" description:"offered load in percent of the engines' capacity"`
	Engines int           `long:"engines" default:"25" description:"number of engines"`
	Nodes   int           `long:"nodes" default:"7" description:"number of nodes"`
	For     time.Duration `long:"for" default:"60s" description:"duration of the load in virtual time"`
	JSON    bool          `long:"json" description:"print JSON"`
}

func init() {
	commands.Add("experiment route", "compare routing policies in virtual time", &ExperimentRoute{})
}

// Execute compares the policies for each seed and prints the results.
func (c *ExperimentRoute) Execute(_ []string) error {
	if c.Seeds < 1 || c.Seeds > maxSeeds || c.Load < 1 || c.Engines < 4 || c.Nodes < 1 {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: fmt.Sprintf("--seeds must be from 1 to %d, --load and --nodes at least 1, --engines at least 4", maxSeeds)}
	}
	for i := range c.Seeds {
		x := exper.DefaultScenario(c.Seed + uint64(i))
		x.LoadPercent, x.Engines, x.Nodes, x.Duration = c.Load, c.Engines, c.Nodes, c.For
		rows := exper.Compare(x)
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(rows); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("seed %d, %d engines, %d nodes, load %d%%\n", x.Seed, x.Engines, x.Nodes, x.LoadPercent)
		exper.WriteComparison(os.Stdout, rows)
	}
	return nil
}
