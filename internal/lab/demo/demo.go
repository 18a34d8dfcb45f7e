// Package demo runs a fleet under a mixed load with failures and reports
// whether the invariants held.
package demo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// loadPercent is the load of the prompts in percent of the engines' prefill
	// rate.
	loadPercent   = 60
	outputTokens  = 32
	sharedPercent = 30
	repeatPercent = 30
	bookingRate   = 20
	statusRate    = 40
	// shortOnlyPercent is the percentage of the time in which only short prompts
	// are sent.
	shortOnlyPercent = 30
	// crashDowntime is how long a crashed engine stays down.
	crashDowntime = 2 * time.Second
	// engineIdleTimeout is how long the engines may take to release their memory
	// after the load.
	engineIdleTimeout = 5 * time.Second
	// shortTokens is the length of the longest short prompt.
	shortTokens = 8_000
)

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	Fleet    *fleet.Fleet
	Seed     uint64
	Duration time.Duration
	// Progress, if set, is called regularly with the current phase and the number
	// of requests sent and ended in it.
	Progress func(phase string, sent, ended int64)

	pools       *conns.Pools
	balancer    *load.Balancer
	monitor     *versionMonitor
	leaving     leavingEngine
	plannedStop nodeStop
	verdicts    patchVerdicts
}

// leavingEngine is the engine that was marked as leaving.
type leavingEngine struct {
	index int
	since time.Time
}

// nodeStop is the result of the planned stop of a node.
type nodeStop struct {
	addr string
	took time.Duration
	err  error
}

// Outcome is the result of a demo.
type Outcome struct {
	Fleet string
	Seed  uint64
	// Report is the report of the mixed load with failures.
	Report load.Report
	// Alone is the report of the short prompts sent without the long ones.
	Alone load.Report
	// Slowdown is the time to first token of each short class in the mixed load
	// divided by that without the long prompts.
	Slowdown   map[string]load.Ratio
	Invariants []Invariant
	// Held is set if all invariants held.
	Held bool
}

// Run runs the demo on a started fleet: first the load with short prompts alone,
// then the mixed load with failures.
func (d *Demo) Run(ctx context.Context) (*Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.pools = &conns.Pools{}
	d.balancer = &load.Balancer{Pools: d.pools}
	d.balancer.Set(d.Fleet.CallerAddrs())
	d.balancer.Probe(ctx)
	go d.balancer.Run(ctx)
	d.monitor = newVersionMonitor(d.Fleet)
	go d.monitor.run(ctx)
	shortPlan := d.loadPlan(d.Duration * shortOnlyPercent / 100)
	d.keepShortPrompts(&shortPlan)
	mixedPlan := d.loadPlan(d.Duration - shortPlan.Duration)
	mixedPlan.InitialPrompts = mixedPlan.Mix[len(mixedPlan.Mix)-1:]
	shortResults := d.sendLoad(ctx, "short load alone", shortPlan)
	mixedResults, err := d.runMixedLoad(ctx, mixedPlan)
	if err != nil {
		return nil, err
	}
	time.Sleep(d.monitor.settleDelay())
	o := &Outcome{
		Fleet: d.Fleet.Plan.Name, Seed: d.Seed,
		Report:   load.Summarize(mixedPlan.Mix, mixedResults),
		Alone:    load.Summarize(shortPlan.Mix, shortResults),
		Slowdown: map[string]load.Ratio{},
	}
	for _, c := range shortPlan.Mix {
		o.Slowdown[c.Name] = load.RatioOf(o.Report.First[c.Name], o.Alone.First[c.Name])
	}
	o.Invariants = d.check(append(shortResults, mixedResults...))
	o.Held = true
	for _, inv := range o.Invariants {
		o.Held = o.Held && inv.Held
	}
	return o, nil
}

// loadPlan returns the plan of the mixed load.
func (d *Demo) loadPlan(duration time.Duration) load.Plan {
	p := load.Plan{
		Host: d.Fleet.Plan.Host, Model: d.Fleet.Plan.Model,
		BookingRate: bookingRate, StatusRate: statusRate,
		Mix: load.DefaultMix(), Output: outputTokens,
		SharedPercent: sharedPercent, RepeatPercent: repeatPercent,
		Duration: duration, Seed: d.Seed,
	}
	for _, w := range d.Fleet.Plan.Workspaces {
		p.Keys = append(p.Keys, load.Key{Workspace: w.Name, Key: w.Key(), Share: w.Share})
	}
	p.PromptRate = d.promptRate(p.Mix)
	return p
}

// promptRate returns the number of prompts of a mix per second that amount to
// loadPercent of the engines' prefill rate.
func (d *Demo) promptRate(mix []load.PromptClass) float64 {
	sim := d.Fleet.Engines[0].EngineSettings
	total := float64(sim.PrefillRate) * float64(len(d.Fleet.Engines))
	return total * loadPercent / 100 / load.MeanTokens(mix)
}

// keepShortPrompts removes the long prompts from a plan. The short ones keep the
// rate that they have in the full mix.
func (d *Demo) keepShortPrompts(p *load.Plan) {
	all := 0
	for _, c := range p.Mix {
		all += c.PerMille
	}
	p.Mix = load.ShortClasses(p.Mix, shortTokens)
	short := 0
	for _, c := range p.Mix {
		short += c.PerMille
	}
	p.PromptRate = p.PromptRate * float64(short) / float64(all)
	p.Seed++
}

func (d *Demo) sendLoad(ctx context.Context, phase string, p load.Plan) []load.Result {
	r := &load.Runner{Plan: p, Balancer: d.balancer}
	if d.Progress != nil {
		r.Progress = func(sent, ended int64) { d.Progress(phase, sent, ended) }
	}
	return r.Run(ctx)
}

// runMixedLoad sends the mixed load while an engine crashes, a node is stopped
// and started again, another engine leaves, and operators submit conflicting
// patches.
func (d *Demo) runMixedLoad(ctx context.Context, p load.Plan) ([]load.Result, error) {
	var rs []load.Result
	var g errgroup.Group
	g.Go(func() error {
		rs = d.sendLoad(ctx, "mixed load with failures", p)
		return nil
	})
	g.Go(func() error { return d.injectFailures(p.Duration) })
	g.Go(func() error { return d.racePatches(p.Duration) })
	return rs, g.Wait()
}

// injectFailures crashes an engine after 15 % of the load's duration. After as
// much again it restarts a node and then marks an engine as leaving.
func (d *Demo) injectFailures(duration time.Duration) error {
	time.Sleep(duration * 15 / 100)
	d.Fleet.Engines[0].Crash(crashDowntime)
	time.Sleep(duration * 15 / 100)
	if err := d.restartNode(len(d.Fleet.Nodes) - 1); err != nil {
		return err
	}
	d.leaving = leavingEngine{index: 1, since: time.Now()}
	d.Fleet.MarkLeaving(1)
	return nil
}

// restartNode stops a node gracefully, starts it again and records the stop.
func (d *Demo) restartNode(i int) error {
	node := d.Fleet.Nodes[i]
	d.plannedStop.addr = node.CallerAddr()
	began := time.Now()
	d.monitor.pause(i)
	d.plannedStop.err = node.Stop()
	d.plannedStop.took = time.Since(began)
	if err := node.Start(); err != nil {
		return errors.Annotate(err, "start again")
	}
	d.monitor.resume(i)
	d.balancer.Set(d.Fleet.CallerAddrs())
	return nil
}

// patchVerdicts counts the verdicts on pairs of conflicting patches. Exactly one
// of each pair should be accepted, the other should be stale.
type patchVerdicts struct {
	rounds, accepted, stale int
	violations              []string
}

// racePatches repeatedly submits two patches of the same version at once.
func (d *Demo) racePatches(duration time.Duration) error {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		time.Sleep(duration / 10)
		if err := d.racePatchPair(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) racePatchPair() error {
	config, err := d.Fleet.Client(0).Config()
	if err != nil {
		return errors.Annotate(err, "race")
	}
	var g errgroup.Group
	results := make([]string, 2)
	for i := range results {
		g.Go(func() error {
			v, err := d.Fleet.Client(i).Patch(newPatch(config.Version))
			results[i] = string(v.Result)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Annotate(err, "race")
	}
	d.monitor.recordAccepted(config.Version + 1)
	d.verdicts.add(results)
	return nil
}

func newPatch(base ident.Version) patchRequest {
	return patchRequest{ID: ident.PatchID(ident.NewID()), Base: base, Author: "demo", Merge: json.RawMessage(`{}`)}
}
