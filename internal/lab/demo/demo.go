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
	// loadPercent of the engines' prefill rate is offered.
	loadPercent   = 60
	outputTokens  = 32
	sharedPercent = 30
	repeatPercent = 30
	bookingRate   = 20
	statusRate    = 40
	// shortOnlyPercent of the time goes to the short load alone.
	shortOnlyPercent  = 30
	crashDowntime     = 2 * time.Second
	engineIdleTimeout = 5 * time.Second
	// shortTokens is the longest prompt of the short load.
	shortTokens = 8_000
)

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	Fleet    *fleet.Fleet
	Seed     uint64
	Duration time.Duration
	// Progress is called with what is under way.
	Progress func(phase string, sent, ended int64)

	pools       *conns.Pools
	balancer    *load.Balancer
	monitor     *versionMonitor
	leaving     leavingEngine
	plannedStop nodeStop
	verdicts    patchVerdicts
}

// leavingEngine is the engine that left.
type leavingEngine struct {
	index int
	since time.Time
}

// nodeStop is the planned stop of a node.
type nodeStop struct {
	addr string
	took time.Duration
	err  error
}

// Outcome is the result of a demo.
type Outcome struct {
	Fleet      string
	Seed       uint64
	Report     load.Report
	Alone      load.Report
	Slowdown   map[string]load.Ratio
	Invariants []Invariant
	// Held tells that all invariants held.
	Held bool
}

// Run runs the demo on a fleet that has been started.
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
	for _, l := range shortPlan.Mix {
		o.Slowdown[l.Name] = load.RatioOf(o.Report.First[l.Name], o.Alone.First[l.Name])
	}
	o.Invariants = d.check(append(shortResults, mixedResults...))
	o.Held = true
	for _, v := range o.Invariants {
		o.Held = o.Held && v.Held
	}
	return o, nil
}

// loadPlan returns the mixed load.
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

// promptRate returns the prompts a second that make up the offered load.
func (d *Demo) promptRate(mix []load.PromptClass) float64 {
	sim := d.Fleet.Engines[0].Sim
	total := float64(sim.PrefillRate) * float64(len(d.Fleet.Engines))
	return total * loadPercent / 100 / load.MeanTokens(mix)
}

// keepShortPrompts keeps the short part of a load, at the rate that it has in the mix.
func (d *Demo) keepShortPrompts(p *load.Plan) {
	all := 0
	for _, c := range p.Mix {
		all += c.PerMille
	}
	p.Mix = load.ShortClasses(p.Mix, shortTokens)
	short := 0
	for _, l := range p.Mix {
		short += l.PerMille
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

// runMixedLoad drives the runMixedLoad load while an engine crashes, a node is stopped and
// started, an engine leaves, and operators race with patches.
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

// injectFailures causes the injectFailures, spread over the time of the load.
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

// restartNode stops a node as planned and starts it again.
func (d *Demo) restartNode(i int) error {
	m := d.Fleet.Nodes[i]
	d.plannedStop.addr = m.CallerAddr()
	began := time.Now()
	d.monitor.pause(i)
	d.plannedStop.err = m.Stop()
	d.plannedStop.took = time.Since(began)
	if err := m.Start(); err != nil {
		return errors.Annotate(err, "start again")
	}
	d.monitor.resume(i)
	d.balancer.Set(d.Fleet.CallerAddrs())
	return nil
}

// patchVerdicts counts what became of racing patches.
type patchVerdicts struct {
	rounds, accepted, stale int
	violations              []string
}

// racePatches lets two operators patch the same version, again and again.
func (d *Demo) racePatches(duration time.Duration) error {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(duration / 10)
		if err := d.racePatchPair(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) racePatchPair() error {
	c, err := d.Fleet.Client(0).Config()
	if err != nil {
		return errors.Annotate(err, "race")
	}
	var g errgroup.Group
	results := make([]string, 2)
	for i := range results {
		g.Go(func() error {
			v, err := d.Fleet.Client(i).Patch(newPatch(c.Version))
			results[i] = string(v.Result)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Annotate(err, "race")
	}
	d.monitor.recordAccepted(c.Version + 1)
	d.verdicts.add(results)
	return nil
}

func newPatch(base ident.Version) patchRequest {
	return patchRequest{ID: ident.PatchID(ident.New()), Base: base, Author: "demo", Merge: json.RawMessage(`{}`)}
}
