package main

import (
	"fmt"
	"os"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/exper"
)

// ExperimentOverload compares loads around and above the capacity, with and
// without admission control, in virtual time.
type ExperimentOverload struct {
	Seed  uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Loads []int         `long:"load" description:"offered load in percent of the engines' capacity, repeatable; 80, 100, 150 and 200 if none is given"`
	Limit time.Duration `long:"limit" default:"30s" description:"time limit of each prompt"`
	For   time.Duration `long:"for" default:"60s" description:"duration of each load in virtual time"`
}

func init() {
	commands.Add("experiment overload", "compare loads around and above the capacity with and without admission control", &ExperimentOverload{})
}

// Execute simulates each load and prints the results.
func (c *ExperimentOverload) Execute(_ []string) error {
	if len(c.Loads) == 0 {
		c.Loads = []int{80, 100, 150, 200}
	}
	for _, l := range c.Loads {
		if l < 1 {
			return &cmds.ExitError{Code: cmds.ExitUsage, Text: "--load must be at least 1"}
		}
	}
	x := exper.DefaultScenario(c.Seed)
	x.Duration = c.For
	fmt.Printf("seed %d, one workspace sends 60%% of the prompts, nine the rest, limit %s\n", c.Seed, c.Limit)
	exper.WriteOverload(os.Stdout, exper.RunOverload(x, c.Loads, c.Limit))
	return nil
}
