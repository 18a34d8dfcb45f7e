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

// standIn is a server that imitates a service of the platform or an endpoint.
type standIn interface {
	Listen() error
	Run(context.Context) error
}

// serveStandIn runs a stand-in until SIGTERM or SIGINT. It prints *addr, which
// Listen sets to the actual address if the port was 0.
func serveStandIn(name string, s standIn, addr *string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := s.Listen(); err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", name, *addr)
	return s.Run(ctx)
}

// Log runs a stand-in for the platform's log service.
type Log struct {
	Listen     string        `long:"listen" default:"127.0.0.1:7001" description:"address to listen on"`
	AppendRate int           `long:"append-rate" default:"400" description:"maximum number of appends per second in all streams"`
	Retention  time.Duration `long:"retention" default:"72h" description:"how long records are kept"`
	MaxRecords int           `long:"max-records" description:"maximum number of records kept in each stream; 0 for no limit"`
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *Log) Execute(_ []string) error {
	s := &logsrv.Server{Address: c.Listen, AppendRate: c.AppendRate, Retention: c.Retention, MaxRecords: c.MaxRecords}
	return serveStandIn("log", s, &s.Address)
}

// VMs runs a stand-in for the platform's VM list.
type VMs struct {
	Listen string        `long:"listen" default:"127.0.0.1:7002" description:"address to listen on"`
	Lag    time.Duration `long:"lag" default:"30s" description:"age of the returned list"`
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *VMs) Execute(_ []string) error {
	s := &vmlist.Server{Address: c.Listen, Lag: c.Lag}
	return serveStandIn("vms", s, &s.Address)
}

// Weights runs a stand-in for the store of model weights.
type Weights struct {
	Listen   string        `long:"listen" default:"127.0.0.1:7003" description:"address to listen on"`
	Interval time.Duration `long:"interval" default:"1s" description:"minimum time between two fetches; earlier ones fail"`
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *Weights) Execute(_ []string) error {
	s := &weight.Server{Address: c.Listen, Interval: c.Interval}
	return serveStandIn("weights", s, &s.Address)
}

// Engine runs a stand-in for a model engine.
type Engine struct {
	Listen           string            `long:"listen" default:"127.0.0.1:7010" description:"address to listen on"`
	Models           []ident.ModelName `long:"model" default:"assistente-dutos" description:"model served, repeatable"`
	Memory           ident.Tokens      `long:"memory" default:"400000" description:"KV memory in tokens"`
	PrefillRate      ident.Tokens      `long:"rate" default:"200000" description:"prefill tokens per second"`
	StepBase         time.Duration     `long:"step" default:"4ms" description:"duration of a step without prefill and decoding"`
	Lag              time.Duration     `long:"lag" default:"200ms" description:"age of the load reports"`
	EventLossPercent int               `long:"gaps" default:"5" description:"percentage of cache events to drop"`
	ChecksOrders     bool              `long:"checks-orders" description:"refuse orders with an old fencing number"`
	WeightStore      string            `long:"weights" description:"address of the weight store; if empty, models are loaded at once"`
	Poison           string            `long:"poison" description:"text that crashes the engine if a prompt contains it"`
	Seed             uint64            `long:"seed" default:"1" description:"seed of the random choice of dropped cache events"`
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *Engine) Execute(_ []string) error {
	sim := engsim.DefaultSettings()
	sim.Memory = c.Memory
	sim.PrefillRate = c.PrefillRate
	sim.StepBase = c.StepBase
	s := &engsrv.Server{
		Address: c.Listen, EngineSettings: sim, Models: c.Models, ChecksOrders: c.ChecksOrders,
		Lag: c.Lag, EventLossPercent: c.EventLossPercent, WeightStore: c.WeightStore, Seed: c.Seed, PoisonText: c.Poison,
	}
	return serveStandIn("engine", s, &s.Address)
}

// Service runs a stand-in for a plain HTTP service.
type Service struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7020" description:"address to listen on"`
	ServiceTime time.Duration `long:"work" default:"3ms" description:"processing time of each request"`
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *Service) Execute(_ []string) error {
	s := &plain.Server{Address: c.Listen, ServiceTime: c.ServiceTime, Runs: plain.NewRunCounter()}
	return serveStandIn("service", s, &s.Address)
}

func init() {
	commands.Add("log", "run a stand-in for the platform's log", &Log{})
	commands.Add("vms", "run a stand-in for the platform's VM list", &VMs{})
	commands.Add("weights", "run a stand-in for the store of model weights", &Weights{})
	commands.Add("engine", "run a stand-in for a model engine", &Engine{})
	commands.Add("service", "run a stand-in for a plain service", &Service{})
}
