package exper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	reportEvery = 100 * time.Millisecond
	reportLag   = 2 // in reports
	readEvery   = 200 * time.Millisecond
	network     = 4 * time.Millisecond
	memoryRetry = 100 * time.Millisecond
	moveRate    = 2_000_000
	shortTokens = 16_000
	reserved    = 20
	warmUp      = 5 * time.Second
	coolDown    = time.Minute
)

// Routing compares policies on one load in virtual time.
type Routing struct {
	Seed    uint64
	Engines int
	Nodes   int
	// LoadPercent of the engines' prefill rate is offered.
	LoadPercent int
	Lengths     []load.Length
	Output      ident.Tokens
	For         time.Duration
	Sim         engsim.Settings
	// ShortOnly sends only the short part of the load, at the rate it has in
	// the whole.
	ShortOnly bool
	// Admit refuses prompts as nodes do; otherwise all are taken.
	Admit bool
	// Limit bounds each prompt when Admit is set.
	Limit time.Duration
}

// DefaultRouting is the load of the example fleets at their real size.
func DefaultRouting(seed uint64) Routing {
	return Routing{
		Seed: seed, Engines: 25, Nodes: 7, LoadPercent: 80, Lengths: load.Lengths(),
		Output: 64, For: time.Minute, Sim: engsim.DefaultSettings(),
	}
}

// node is one node with its view of the engines.
type node struct {
	run       *routing
	endpoints []*table.Endpoint
	lane      route.Lane
}

type routing struct {
	Routing
	*world
	policy  route.Policy
	nodes   []*node
	start   time.Time
	results []load.Result
	ids     int
	uses    uses
}

// Run drives the load through a policy and returns what came of it.
func (x Routing) Run(p route.Policy) []load.Result {
	r := &routing{Routing: x, world: newWorld(x.Seed, x.Engines, x.Sim), policy: p, uses: newUses(x.Seed)}
	r.start = r.now
	for range x.Nodes {
		r.nodes = append(r.nodes, r.newNode())
	}
	for _, e := range r.engines {
		r.report(e)
	}
	for _, n := range r.nodes {
		r.after(time.Duration(r.rnd.Int64N(int64(readEvery))), func() { n.read() })
	}
	arrivals := rand.New(rand.NewPCG(x.Seed, 0x6172))
	r.arrive(arrivals, r.rate())
	r.run(r.start.Add(x.For + coolDown))
	return r.results
}

func (r *routing) newNode() *node {
	n := &node{run: r}
	doc := &confg.Document{Endpoints: map[ident.EndpointName]confg.Endpoint{}}
	for i := range r.engines {
		doc.Endpoints[engineName(i)] = confg.Endpoint{Kind: confg.Engine, MemoryTokens: r.Sim.Memory, PrefillRate: r.Sim.PrefillRate}
	}
	t := table.New(1, doc, nil)
	for i := range r.engines {
		n.endpoints = append(n.endpoints, t.Endpoints[engineName(i)])
	}
	return n
}

func engineName(i int) ident.EndpointName { return ident.EndpointName(fmt.Sprintf("e%04d", i)) }

// rate returns the prompts a second of the whole load, relative to the rate
// of engines whose steps are full.
func (r *routing) rate() float64 {
	chunk := float64(r.Sim.Chunk)
	rate := chunk / (r.Sim.StepBase.Seconds() + chunk/float64(r.Sim.PrefillRate))
	return rate * float64(r.Engines) * float64(r.LoadPercent) / 100 / load.MeanTokens(r.Lengths)
}

// report keeps snapshots of an engine's load.
func (r *routing) report(e *engine) {
	e.reports = append(e.reports, e.Load())
	if len(e.reports) > reportLag+1 {
		e.reports = e.reports[1:]
	}
	r.after(reportEvery, func() { r.report(e) })
}

// read takes the engines' lagging reports.
func (n *node) read() {
	for i, e := range n.run.engines {
		l := e.reports[0]
		n.endpoints[i].SetLoad(&table.Load{
			At: n.run.now, Running: l.Running, Waiting: l.Waiting,
			ShortQueue: l.ShortQueue, LongQueue: l.LongQueue,
			Held: l.UsedMemory, Memory: n.run.Sim.Memory, PrefillRate: n.run.Sim.PrefillRate, Step: l.StepTime,
		})
	}
	var vs []table.View
	for _, e := range n.endpoints {
		vs = append(vs, e.View(n.run.now, n.run.Nodes))
	}
	n.lane = n.lane.Observe(vs)
	n.run.after(readEvery, n.read)
}

// arrive schedules the next prompt.
func (r *routing) arrive(rnd *rand.Rand, rate float64) {
	r.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now.Sub(r.start) > r.For {
			return
		}
		l := load.Pick(r.Lengths, rnd)
		if n := r.nodes[rnd.IntN(len(r.nodes))]; !r.ShortOnly || l.Tokens <= shortTokens {
			n.send(l)
		}
		r.arrive(rnd, rate)
	})
}

// candidates returns the node's view of the engines.
func (n *node) candidates() []route.Candidate {
	cs := make([]route.Candidate, len(n.endpoints))
	for i, e := range n.endpoints {
		cs[i] = route.Candidate{Name: e.Name, View: e.View(n.run.now, n.run.Nodes), Long: i < n.lane.Size(len(cs))}
	}
	return cs
}

// send routes a prompt.
func (n *node) send(l load.Length) {
	r := n.run
	r.ids++
	p := &prompt{node: n, id: ident.RequestID(fmt.Sprint(r.ids)), length: l, began: r.now}
	p.workspace = r.uses.pick()
	p.query = route.Request{Prompt: l.Tokens, Output: r.Output, Short: l.Tokens <= shortTokens, ReservedPercent: reserved}
	cs := n.candidates()
	if l.Tokens+r.Output > route.Largest(cs, p.query) {
		plan, err := route.Spread(cs, p.query, false)
		if err == nil && p.admit(plan.Choice, cs) {
			p.spread()
		}
		return
	}
	c, err := r.policy.Choose(route.Of(cs), p.query, r.rnd)
	if err != nil || !p.admit(c, cs) {
		return
	}
	e := n.endpoints[c.Index]
	e.Calls.Add(1)
	e.Sent(l.Tokens, r.Output, p.query.Short)
	r.after(network, func() { p.submit(c.Index, e) })
}

// prompt is one prompt under way.
type prompt struct {
	node   *node
	id     ident.RequestID
	length load.Length
	query  route.Request
	began  time.Time
	first  time.Duration
	// workspace is the index of the prompt's owner.
	workspace int
}

func (p *prompt) priority() int {
	if p.query.Short {
		return 0
	}
	return 1
}

func (p *prompt) submit(i int, e *table.Endpoint) {
	s := &engsim.Sequence{ID: p.id, Prompt: p.length.Tokens, Output: p.node.run.Output, Priority: p.priority()}
	w := watcher{first: p.started, last: func() { e.Calls.Add(-1); p.ended() }}
	if err := p.node.run.engines[i].submit(s, w); err != nil {
		e.Calls.Add(-1)
	}
}

func (p *prompt) started() { p.first = p.node.run.now.Sub(p.began) + network }

func (p *prompt) ended() {
	r := p.node.run
	r.uses.end(p.workspace, p.length.Tokens)
	at := p.began.Sub(r.start)
	if at < warmUp {
		return
	}
	r.results = append(r.results, load.Result{
		Kind: load.Prompt, Class: p.length.Name, At: at, First: p.first,
		Took: r.now.Sub(p.began) + network, Outcome: ident.Answered, Whole: true,
		Workspace: workspaceName(p.workspace),
	})
}

// spread runs a prompt on several engines once they have memory for it.
func (p *prompt) spread() {
	r := p.node.run
	plan, err := route.Spread(p.node.candidates(), p.query, true)
	if err != nil || !p.reserve(plan) {
		if r.Admit && r.now.Sub(p.began) > route.WaitForMemory(r.Limit) {
			r.uses.end(p.workspace, p.length.Tokens)
			r.refuse(p, "no-memory")
			return
		}
		r.after(memoryRetry, p.spread)
		return
	}
	left := len(plan.Parts)
	for i, x := range plan.Parts {
		p.node.endpoints[x.Index].Sent(x.Tokens, 0, false)
		s := &engsim.Sequence{ID: p.id + "-part", Prompt: x.Tokens, Output: 1, Priority: 1, HasReservation: true}
		move := time.Duration(0)
		if i > 0 {
			move = time.Duration(float64(x.Tokens) / moveRate * float64(time.Second))
		}
		done := func() {
			left--
			if left == 0 {
				p.generate(plan)
			}
		}
		r.engines[x.Index].submit(s, watcher{last: func() { r.after(move, done) }})
	}
}

func (p *prompt) reserve(plan route.Plan) bool {
	for i, x := range plan.Parts {
		if p.node.run.engines[x.Index].Reserve(string(p.id), x.Tokens) == nil {
			continue
		}
		for _, y := range plan.Parts[:i] {
			p.node.run.engines[y.Index].Release(string(p.id))
		}
		return false
	}
	return true
}

func (p *prompt) generate(plan route.Plan) {
	r := p.node.run
	s := &engsim.Sequence{ID: p.id, Prompt: 1, Output: r.Output, Priority: 1, HasReservation: true}
	r.engines[plan.Parts[0].Index].submit(s, watcher{first: p.started, last: func() {
		for _, x := range plan.Parts {
			r.engines[x.Index].Release(string(p.id))
			r.engines[x.Index].wake()
		}
		p.ended()
	}})
}
