package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/exper"
)

// ExperimentCost measures the latency of requests through a node and the CPU time
// that the node spends on each.
type ExperimentCost struct {
	Node    string        `long:"node" default:"127.0.0.1:8010" description:"node's address for callers"`
	Admin   string        `long:"admin" default:"127.0.0.1:8011" description:"node's address for operators"`
	Direct  string        `long:"direct" default:"127.0.0.1:7020" description:"address of a plain service, called without the node for comparison"`
	Key     string        `long:"key" default:"local-key" description:"workspace's key"`
	Host    string        `long:"host" default:"portal.dutos.example" description:"host of the status route"`
	Model   string        `long:"model" default:"assistente-dutos" description:"model of the prompts"`
	Workers int           `long:"workers" default:"32" description:"number of parallel calls"`
	For     time.Duration `long:"for" default:"3s" description:"duration of each measurement"`
}

func init() {
	commands.Add("experiment cost", "measure the latency of requests through a node and the CPU time it spends on each", &ExperimentCost{})
}

// Execute measures plain requests, direct and through the node, and streamed
// tokens, and prints the results.
func (c *ExperimentCost) Execute(_ []string) error {
	if c.Workers < 1 || c.For <= 0 {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: "--workers and --for must be above 0"}
	}
	x := exper.CostBenchmark{NodeAddr: c.Node, AdminAddr: c.Admin, ServiceAddr: c.Direct, APIKey: c.Key, Host: c.Host, Model: c.Model, Workers: c.Workers, Duration: c.For}
	ctx := context.Background()
	node, direct, err := x.MeasurePlain(ctx)
	if err != nil {
		return err
	}
	tokens, err := x.MeasureStream(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "what\ta second\tp50\tp99\tnode CPU each\ta second and core\terrors")
	for _, r := range []struct {
		name string
		exper.Measurement
	}{{"plain, direct", direct}, {"plain, node", node}, {"streamed tokens", tokens}} {
		fmt.Fprintf(w, "%s\t%.0f\t%s\t%s\t%s\t%.0f\t%d\n", r.name, r.PerSecond, r.P50, r.P99, r.CPU, r.PerCore, r.Failed)
	}
	return w.Flush()
}
