package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/internal/lab/vmlist"
	"laburnumstack.org/laburnum/internal/lab/weight"
	"laburnumstack.org/laburnum/pkg/ident"
)

// standIn is a server that runs as a plain process.
type standIn interface {
	Listen() error
	Run(context.Context) error
}

// serveStandIn runs a stand-in until a signal.
func serveStandIn(name string, s standIn, addr *string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := s.Listen(); err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", name, *addr)
	return s.Run(ctx)
}

// Log runs the stand-in of the log service.
type Log struct {
	Listen     string        `long:"listen" default:"127.0.0.1:7001" description:"address to listen on"`
	AppendRate int           `long:"append-rate" default:"400" description:"bound on appends a second"`
	Retention  time.Duration `long:"retention" default:"72h" description:"how long records are kept"`
	MaxRecords int           `long:"max-records" description:"bound on the records of a stream, 0 keeps all"`
}

// Execute runs the stand-in.
func (c *Log) Execute(_ []string) error {
	s := &logsrv.Server{Address: c.Listen, AppendRate: c.AppendRate, Retention: c.Retention, MaxRecords: c.MaxRecords}
	return serveStandIn("log", s, &s.Address)
}

// VMs runs the stand-in of the VM list.
type VMs struct {
	Listen string        `long:"listen" default:"127.0.0.1:7002" description:"address to listen on"`
	Lag    time.Duration `long:"lag" default:"30s" description:"age of the list that is shown"`
}

// Execute runs the stand-in.
func (c *VMs) Execute(_ []string) error {
	s := &vmlist.Server{Address: c.Listen, Lag: c.Lag}
	return serveStandIn("vms", s, &s.Address)
}

// Weights runs the stand-in of the weight store.
type Weights struct {
	Listen   string        `long:"listen" default:"127.0.0.1:7003" description:"address to listen on"`
	Interval time.Duration `long:"interval" default:"1s" description:"least time between two fetches"`
}

// Execute runs the stand-in.
func (c *Weights) Execute(_ []string) error {
	s := &weight.Server{Address: c.Listen, Interval: c.Interval}
	return serveStandIn("weights", s, &s.Address)
}

// Engine runs the stand-in of a model engine.
type Engine struct {
	Listen       string            `long:"listen" default:"127.0.0.1:7010" description:"address to listen on"`
	Models       []ident.ModelName `long:"model" default:"assistente-dutos" description:"model served, repeatable"`
	Memory       ident.Tokens      `long:"memory" default:"400000" description:"KV memory in tokens"`
	Rate         ident.Tokens      `long:"rate" default:"200000" description:"prefill tokens a second"`
	Step         time.Duration     `long:"step" default:"4ms" description:"time of an empty batch iteration"`
	Lag          time.Duration     `long:"lag" default:"200ms" description:"age of the load reports"`
	GapPercent   int               `long:"gaps" default:"5" description:"percent of cache events lost"`
	ChecksOrders bool              `long:"checks-orders" description:"refuse orders with an old fencing number"`
	WeightStore  string            `long:"weights" description:"address of the weight store"`
	Poison       string            `long:"poison" description:"text that crashes the engine"`
	Seed         uint64            `long:"seed" default:"1" description:"seed of random choices"`
}

// Execute runs the stand-in.
func (c *Engine) Execute(_ []string) error {
	sim := engsim.DefaultSettings()
	sim.Memory = c.Memory
	sim.PrefillRate = c.Rate
	sim.StepBase = c.Step
	s := &engsrv.Server{
		Address: c.Listen, Sim: sim, Models: c.Models, ChecksOrders: c.ChecksOrders,
		Lag: c.Lag, GapPercent: c.GapPercent, WeightStore: c.WeightStore, Seed: c.Seed, PoisonMark: c.Poison,
	}
	return serveStandIn("engine", s, &s.Address)
}

// Service runs the stand-in of a plain service.
type Service struct {
	Listen string        `long:"listen" default:"127.0.0.1:7020" description:"address to listen on"`
	Work   time.Duration `long:"work" default:"3ms" description:"time that a request takes"`
}

// Execute runs the stand-in.
func (c *Service) Execute(_ []string) error {
	s := &plain.Server{Address: c.Listen, ServiceTime: c.Work, Runs: plain.NewRunCounter()}
	return serveStandIn("service", s, &s.Address)
}

func init() {
	commands.Add("log", "stand-in of the platform's log", &Log{})
	commands.Add("vms", "stand-in of the platform's VM list", &VMs{})
	commands.Add("weights", "stand-in of the weight store", &Weights{})
	commands.Add("engine", "stand-in of a model engine", &Engine{})
	commands.Add("service", "stand-in of a plain service", &Service{})
}
