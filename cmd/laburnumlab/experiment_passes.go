package main

import (
	"cmp"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/lab/passes"
)

// ExperimentPasses simulates bursts of short and long prompts on engines that
// batch their requests in iterations, and compares placement policies.
type ExperimentPasses struct {
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   int           `long:"seeds" default:"5" description:"number of seeds"`
	Large   bool          `long:"large" description:"simulate the large deployment: more and smaller engines, longer prompts, more nodes"`
	Engines int           `long:"engines" description:"number of engines; by default the deployment's"`
	Nodes   int           `long:"nodes" description:"number of nodes; by default the deployment's"`
	Load    float64       `long:"load" default:"1" description:"factor on the arrival rates of all prompts"`
	Delay   time.Duration `long:"delay" default:"8ms" description:"time until a node receives another node's updates"`
}

func init() {
	commands.Add("experiment passes", "compare placement policies in simulated bursts of prompts on engines that batch in iterations", &ExperimentPasses{})
}

// Execute simulates each policy with all seeds and prints the results. The policy
// "placed" is the one that nodes use; "alone" sends each prompt unsplit to the
// engine with the fewest requests.
func (c *ExperimentPasses) Execute(_ []string) error {
	if c.Seeds < 1 || c.Engines < 0 || c.Engines == 1 || c.Nodes < 0 || c.Load <= 0 {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: "--seeds must be at least 1, --engines at least 2 or 0 for the default, --nodes not negative, --load above 0"}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tkind\tasked\tcredit\tin time\tlate first\tlate pause\trefused\tfailed\tmean first\tmean error\tserved\tserved next fifth\tserved largest tenth")
	c.simulate(w, "placed", place.Choose)
	c.simulate(w, "alone", passes.LeastRequests)
	return w.Flush()
}

// simulate runs one policy with all seeds and prints a line for each kind of
// prompt, and one for all kinds together.
func (c *ExperimentPasses) simulate(w *tabwriter.Writer, name string, choose func(place.ServiceState, place.Request) (place.Choice, error)) {
	var sum []passes.Result
	for i := range c.Seeds {
		cfg := passes.UserWorkload(c.Seed + uint64(i))
		if c.Large {
			cfg = passes.LargeWorkload(c.Seed + uint64(i))
		}
		cfg.Choose, cfg.UpdateDelay = choose, c.Delay
		cfg.EngineCount, cfg.NodeCount = cmp.Or(c.Engines, cfg.EngineCount), cmp.Or(c.Nodes, cfg.NodeCount)
		for k := range cfg.Kinds {
			cfg.Kinds[k].Rate *= c.Load
		}
		sum = passes.Add(sum, passes.Run(cfg))
	}
	var maxCredit, earnedCredit float64
	for _, r := range sum {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%.3f\t%.3f\t%.3f\n", name, r.Kind, r.Requests, r.CreditRatio(), r.InTime, r.LateFirst, r.LateGap, r.Refused, r.Failed, round(r.MeanTimeToFirstEvent/time.Duration(c.Seeds)), round(r.MeanEstimateError/time.Duration(c.Seeds)),
			r.Sizes.All().Share(), r.Sizes[bysize.NextFifth].Share(), r.Sizes[bysize.LargestTenth].Share())
		maxCredit += r.MaxCredit
		earnedCredit += r.EarnedCredit
	}
	fmt.Fprintf(w, "%s\tall\t\t%.3f\n", name, earnedCredit/maxCredit)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
