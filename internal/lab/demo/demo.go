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
	output        = 32
	sharedPercent = 30
	repeatPercent = 30
	bookingRate   = 20
	statusRate    = 40
	// alonePercent of the time goes to the short load alone.
	alonePercent = 30
	crashDown    = 2 * time.Second
	quietTime    = 5 * time.Second
	// shortTokens is the longest prompt of the short load.
	shortTokens = 8_000
)

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	Fleet *fleet.Fleet
	Seed  uint64
	For   time.Duration
	// Progress is called with what is under way.
	Progress func(phase string, sent, ended int64)

	pools    *conns.Pools
	balancer *load.Balancer
	watch    *versionWatch
	left     leaving
	stopped  stopping
	verdicts verdicts
}

// leaving is the engine that left.
type leaving struct {
	engine int
	at     time.Time
}

// stopping is the planned stop of a node.
type stopping struct {
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
	d.balancer.Set(d.Fleet.Callers())
	d.balancer.Probe(ctx)
	go d.balancer.Run(ctx)
	d.watch = newVersionWatch(d.Fleet)
	go d.watch.run(ctx)
	alone := d.plan(d.For * alonePercent / 100)
	d.shorten(&alone)
	mixed := d.plan(d.For - alone.Duration)
	mixed.InitialPrompts = mixed.Mix[len(mixed.Mix)-1:]
	before := d.drive(ctx, "short load alone", alone)
	after, err := d.mixed(ctx, mixed)
	if err != nil {
		return nil, err
	}
	time.Sleep(d.watch.settle())
	o := &Outcome{
		Fleet: d.Fleet.Plan.Name, Seed: d.Seed,
		Report:   load.Summarize(mixed.Mix, after),
		Alone:    load.Summarize(alone.Mix, before),
		Slowdown: map[string]load.Ratio{},
	}
	for _, l := range alone.Mix {
		o.Slowdown[l.Name] = load.RatioOf(o.Report.First[l.Name], o.Alone.First[l.Name])
	}
	o.Invariants = d.check(append(before, after...))
	o.Held = true
	for _, v := range o.Invariants {
		o.Held = o.Held && v.Held
	}
	return o, nil
}

// plan returns the mixed load.
func (d *Demo) plan(span time.Duration) load.Plan {
	p := load.Plan{
		Host: d.Fleet.Plan.Host, Model: d.Fleet.Plan.Model,
		BookingRate: bookingRate, StatusRate: statusRate,
		Mix: load.DefaultMix(), Output: output,
		SharedPercent: sharedPercent, RepeatPercent: repeatPercent,
		Duration: span, Seed: d.Seed,
	}
	for _, w := range d.Fleet.Plan.Workspaces {
		p.Keys = append(p.Keys, load.Key{Workspace: w.Name, Key: w.Key(), Share: w.Share})
	}
	p.PromptRate = d.rate(p.Mix)
	return p
}

// rate returns the prompts a second that make up the offered load.
func (d *Demo) rate(ls []load.PromptClass) float64 {
	sim := d.Fleet.Engines[0].Sim
	total := float64(sim.PrefillRate) * float64(len(d.Fleet.Engines))
	return total * loadPercent / 100 / load.MeanTokens(ls)
}

// shorten keeps the short part of a load, at the rate that it has in the mix.
func (d *Demo) shorten(p *load.Plan) {
	all := 0
	for _, l := range p.Mix {
		all += l.PerMille
	}
	p.Mix = load.ShortClasses(p.Mix, shortTokens)
	part := 0
	for _, l := range p.Mix {
		part += l.PerMille
	}
	p.PromptRate = p.PromptRate * float64(part) / float64(all)
	p.Seed++
}

func (d *Demo) drive(ctx context.Context, phase string, p load.Plan) []load.Result {
	r := &load.Runner{Plan: p, Balancer: d.balancer}
	if d.Progress != nil {
		r.Progress = func(sent, ended int64) { d.Progress(phase, sent, ended) }
	}
	return r.Run(ctx)
}

// mixed drives the mixed load while an engine crashes, a node is stopped and
// started, an engine leaves, and operators race with patches.
func (d *Demo) mixed(ctx context.Context, p load.Plan) ([]load.Result, error) {
	var rs []load.Result
	var g errgroup.Group
	g.Go(func() error {
		rs = d.drive(ctx, "mixed load with failures", p)
		return nil
	})
	g.Go(func() error { return d.failures(p.Duration) })
	g.Go(func() error { return d.race(p.Duration) })
	return rs, g.Wait()
}

// failures causes the failures, spread over the time of the load.
func (d *Demo) failures(span time.Duration) error {
	time.Sleep(span * 15 / 100)
	d.Fleet.Engines[0].Crash(crashDown)
	time.Sleep(span * 15 / 100)
	if err := d.restart(len(d.Fleet.Nodes) - 1); err != nil {
		return err
	}
	d.left = leaving{engine: 1, at: time.Now()}
	d.Fleet.Leave(1)
	return nil
}

// restart stops a node as planned and starts it again.
func (d *Demo) restart(i int) error {
	m := d.Fleet.Nodes[i]
	d.stopped.addr = m.CallerAddr()
	began := time.Now()
	d.watch.pause(i)
	d.stopped.err = m.Stop()
	d.stopped.took = time.Since(began)
	if err := m.Start(); err != nil {
		return errors.Annotate(err, "start again")
	}
	d.watch.resume(i)
	d.balancer.Set(d.Fleet.Callers())
	return nil
}

// verdicts counts what became of racing patches.
type verdicts struct {
	rounds, accepted, stale int
	wrong                   []string
}

// race lets two operators patch the same version, again and again.
func (d *Demo) race(span time.Duration) error {
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(span / 10)
		if err := d.raceOnce(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) raceOnce() error {
	c, err := d.Fleet.Client(0).Config()
	if err != nil {
		return errors.Annotate(err, "race")
	}
	var g errgroup.Group
	results := make([]string, 2)
	for i := range results {
		g.Go(func() error {
			v, err := d.Fleet.Client(i).Patch(patchOf(c.Version))
			results[i] = string(v.Result)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Annotate(err, "race")
	}
	d.watch.accepted(c.Version + 1)
	d.verdicts.add(results)
	return nil
}

func patchOf(base ident.Version) adminPatch {
	return adminPatch{ID: ident.PatchID(ident.New()), Base: base, Author: "demo", Merge: json.RawMessage(`{}`)}
}
