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
	// loadPercent is the rate of prompt tokens sent, in percent of the engines'
	// total prefill rate.
	loadPercent = 60
	// outputTokens is the number of tokens to generate for each prompt.
	outputTokens = 32
	// sharedPercent and repeatPercent are SharedPercent and RepeatPercent of
	// load.Plan.
	sharedPercent = 30
	repeatPercent = 30
	// bookingRate and statusRate are in requests per second.
	bookingRate = 20
	statusRate  = 40
	// shortOnlyPercent is the percentage of Demo.Duration in which no long prompts
	// are sent.
	shortOnlyPercent = 30
	// crashDowntime is how long a crashed engine stays down.
	crashDowntime = 2 * time.Second
	// engineIdleTimeout is how long the engines may take to release their memory
	// after the load.
	engineIdleTimeout = 5 * time.Second
	// maxShortTokens is the length in tokens up to which a prompt is short.
	maxShortTokens = 8_000
)

// Demo runs a fleet under load once. Its exported fields are set before Run.
type Demo struct {
	// Fleet must have been started and have at least two nodes and two engines.
	Fleet *fleet.Fleet
	// Seed is the seed of the load.
	Seed uint64
	// Duration is how long requests are sent, in both phases together.
	Duration time.Duration
	// Progress, if set, is called every 500 ms with the current phase and the
	// number of requests sent and ended in it.
	Progress func(phase string, sent, ended int64)

	pools    *conns.Pools
	balancer *load.Balancer
	monitor  *versionMonitor
	leaving  leavingEngine
	shutdown nodeShutdown
	verdicts patchVerdicts
}

// leavingEngine is the engine that was marked as leaving.
type leavingEngine struct {
	index int
	since time.Time
}

// nodeShutdown is the result of the graceful shutdown of a node.
type nodeShutdown struct {
	addr string
	took time.Duration
	err  error
}

// Outcome is the result of a run of the demo.
type Outcome struct {
	// Fleet is the name of the fleet's plan.
	Fleet string
	Seed  uint64
	// Report is the report of the mixed load with failures.
	Report load.Report
	// Alone is the report of the load without long prompts.
	Alone load.Report
	// Slowdown is, for each class of short prompts, the time to first token in
	// the mixed load divided by the time to first token in the load of Alone.
	Slowdown   map[string]load.Ratio
	Invariants []Invariant
	// Held is set if all invariants held.
	Held bool
}

// Run runs the demo: first a load without long prompts, then the mixed load with
// failures.
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
	d.removeLongPrompts(&shortPlan)
	mixedPlan := d.loadPlan(d.Duration - shortPlan.Duration)
	// The longest class is the last one of the mix.
	mixedPlan.InitialPrompts = mixedPlan.Mix[len(mixedPlan.Mix)-1:]
	shortResults := d.sendLoad(ctx, "short load alone", shortPlan)
	mixedResults, err := d.runMixedLoad(ctx, mixedPlan)
	if err != nil {
		return nil, err
	}
	time.Sleep(d.monitor.settleTime())
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

// loadPlan returns a plan of the given duration with all classes of prompts.
func (d *Demo) loadPlan(duration time.Duration) load.Plan {
	p := load.Plan{
		Host: d.Fleet.Plan.Host, Model: d.Fleet.Plan.Model,
		BookingRate: bookingRate, StatusRate: statusRate,
		Mix: load.DefaultMix(), Output: outputTokens,
		SharedPercent: sharedPercent, RepeatPercent: repeatPercent,
		Duration: duration, Seed: d.Seed,
	}
	for _, w := range d.Fleet.Plan.Workspaces {
		p.Keys = append(p.Keys, load.WorkspaceKey{Workspace: w.Name, APIKey: w.Key(), Share: w.Share})
	}
	p.PromptRate = d.promptRate(p.Mix)
	return p
}

// promptRate returns how many prompts of a mix per second amount to loadPercent
// of the engines' total prefill rate.
func (d *Demo) promptRate(mix []load.PromptClass) float64 {
	sim := d.Fleet.Engines[0].EngineSettings
	total := float64(sim.PrefillRate) * float64(len(d.Fleet.Engines))
	return total * loadPercent / 100 / load.MeanTokens(mix)
}

// removeLongPrompts removes the long prompts from a plan. The short ones keep the
// rate that they have in the full mix. It also changes the seed, so that the two
// phases send different requests and idempotency keys.
func (d *Demo) removeLongPrompts(p *load.Plan) {
	all := 0
	for _, c := range p.Mix {
		all += c.Share
	}
	p.Mix = load.ShortClasses(p.Mix, maxShortTokens)
	short := 0
	for _, c := range p.Mix {
		short += c.Share
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

// injectFailures crashes an engine after 15 % of the load's duration. After
// another 15 % it restarts the last node and then marks another engine as leaving.
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

// restartNode shuts a node down gracefully, starts it again and records the
// shutdown.
func (d *Demo) restartNode(i int) error {
	node := d.Fleet.Nodes[i]
	d.shutdown.addr = node.CallerAddr()
	began := time.Now()
	d.monitor.pause(i)
	d.shutdown.err = node.Stop()
	d.shutdown.took = time.Since(began)
	if err := node.Start(); err != nil {
		return errors.Annotate(err, "restart node")
	}
	d.monitor.resume(i)
	d.balancer.Set(d.Fleet.CallerAddrs())
	return nil
}

// patchVerdicts counts the verdicts on pairs of conflicting patches. Exactly one
// of each pair should be accepted, the other should be stale.
type patchVerdicts struct {
	rounds, accepted, stale int
	// violations describes the pairs with other verdicts.
	violations []string
}

// racePatches repeatedly submits two patches with the same base version at the
// same time, until the duration is over.
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
		return errors.Annotate(err, "read the configuration")
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
		return errors.Annotate(err, "submit conflicting patches")
	}
	d.monitor.recordAccepted(config.Version + 1)
	d.verdicts.add(results)
	return nil
}

func newPatch(base ident.Version) patchRequest {
	return patchRequest{ID: ident.PatchID(ident.NewID()), Base: base, Author: "demo", Merge: json.RawMessage(`{}`)}
}
