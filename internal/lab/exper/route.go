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
	// snapshotInterval is the time between two load snapshots of an engine, as in
	// package engsrv.
	snapshotInterval = 100 * time.Millisecond
	// snapshotLag is the age of the snapshots that nodes read, in snapshot
	// intervals.
	snapshotLag = 2
	// readInterval is the time between two reads of the engines' load by a node.
	readInterval = 200 * time.Millisecond
	// networkDelay is the one-way network delay between a node and an engine.
	networkDelay = 4 * time.Millisecond
	// memoryRetryInterval is the pause between two attempts to reserve memory for
	// a split prompt.
	memoryRetryInterval = 100 * time.Millisecond
	// transferRate is the speed of moving the KV cache from a helper to the
	// primary engine, in tokens per second.
	transferRate = 2_000_000
	// maxShortTokens is the length in tokens up to which a prompt is short.
	maxShortTokens = 16_000
	// reservedPercent is the percentage of an engine's memory that is kept free of
	// long prompts.
	reservedPercent = 20
	// Prompts that arrive within warmUp of the start are left out of the results.
	warmUp = 5 * time.Second
	// coolDown is how long the simulation continues after Scenario.Duration.
	coolDown = time.Minute
)

// Scenario describes a simulation of nodes that route prompts to engines in
// virtual time.
type Scenario struct {
	Seed    uint64
	Engines int
	Nodes   int
	// LoadPercent is the offered load in percent of the engines' capacity;
	// see promptRate.
	LoadPercent int
	Mix         []load.PromptClass
	// Output is the number of tokens to generate for each prompt.
	Output ident.Tokens
	// Duration is the time in which prompts arrive.
	Duration       time.Duration
	EngineSettings engsim.Settings
	// ShortOnly is set if prompts longer than maxShortTokens are left out. The
	// others arrive at the same rate as in the full load.
	ShortOnly bool
	// AdmissionControl is set if the simulated nodes reject prompts as real
	// nodes do. Otherwise all prompts are admitted.
	AdmissionControl bool
	// TimeLimit is the time limit of a prompt. Admission control and RunOverload
	// use it; the simulation stops no prompt that exceeds it.
	TimeLimit time.Duration
}

// DefaultScenario returns a scenario with the prompt mix of the example fleets
// on 25 engines and 7 nodes.
func DefaultScenario(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Engines: 25, Nodes: 7, LoadPercent: 80, Mix: load.DefaultMix(),
		Output: 64, Duration: time.Minute, EngineSettings: engsim.DefaultSettings(),
	}
}

// node is a simulated node. Its endpoints hold the engines' load as last read by
// the node.
type node struct {
	scenario  *scenarioRun
	endpoints []*table.Endpoint
	longPool  route.LongPool
}

// scenarioRun is the state of one run of a scenario. lastID is the ID of the
// newest prompt.
type scenarioRun struct {
	Scenario
	*simulator
	policy     route.Policy
	nodes      []*node
	start      time.Time
	results    []load.Result
	lastID     int
	workspaces workspaces
}

// Run simulates the scenario with a policy and returns the results of the prompts
// that were rejected or ended, except those that arrived during the warm-up.
func (s Scenario) Run(p route.Policy) []load.Result {
	r := &scenarioRun{Scenario: s, simulator: newSimulator(s.Seed, s.Engines, s.EngineSettings), policy: p, workspaces: newWorkspaces(s.Seed)}
	r.start = r.now
	for range s.Nodes {
		r.nodes = append(r.nodes, r.newNode())
	}
	for _, e := range r.engines {
		r.takeSnapshot(e)
	}
	for _, n := range r.nodes {
		r.after(time.Duration(r.rnd.Int64N(int64(readInterval))), func() { n.readReports() })
	}
	arrivals := rand.New(rand.NewPCG(s.Seed, 0x6172))
	r.scheduleArrival(arrivals, r.promptRate())
	r.run(r.start.Add(s.Duration + coolDown))
	return r.results
}

func (r *scenarioRun) newNode() *node {
	n := &node{scenario: r}
	doc := &confg.Document{Endpoints: map[ident.EndpointName]confg.Endpoint{}}
	for i := range r.engines {
		doc.Endpoints[engineName(i)] = confg.Endpoint{Kind: confg.Engine, MemoryTokens: r.EngineSettings.Memory, PrefillRate: r.EngineSettings.PrefillRate}
	}
	t := table.New(1, doc, nil)
	for i := range r.engines {
		n.endpoints = append(n.endpoints, t.Endpoints[engineName(i)])
	}
	return n
}

func engineName(i int) ident.EndpointName { return ident.EndpointName(fmt.Sprintf("e%04d", i)) }

// promptRate returns the prompts per second that amount to LoadPercent of the
// engines' capacity. The capacity is the prefill rate of engines whose steps
// all prefill a full chunk.
func (r *scenarioRun) promptRate() float64 {
	chunk := float64(r.EngineSettings.PrefillChunk)
	rate := chunk / (r.EngineSettings.StepBase.Seconds() + chunk/float64(r.EngineSettings.PrefillRate))
	return rate * float64(r.Engines) * float64(r.LoadPercent) / 100 / load.MeanTokens(r.Mix)
}

// takeSnapshot adds a snapshot to an engine's load history, keeps the last
// snapshotLag+1 of them, and schedules the next one.
func (r *scenarioRun) takeSnapshot(e *engine) {
	e.loadHistory = append(e.loadHistory, e.Load())
	if len(e.loadHistory) > snapshotLag+1 {
		e.loadHistory = e.loadHistory[1:]
	}
	r.after(snapshotInterval, func() { r.takeSnapshot(e) })
}

// readReports updates the load of the node's endpoints from the oldest snapshots
// kept, resizes the pool for long requests, and schedules the next read.
func (n *node) readReports() {
	for i, e := range n.scenario.engines {
		l := e.loadHistory[0]
		n.endpoints[i].SetLoad(&table.Load{
			At: n.scenario.now, Running: l.Running, Waiting: l.Waiting,
			ShortQueue: l.ShortQueue, LongQueue: l.LongQueue,
			UsedMemory: l.UsedMemory, Memory: n.scenario.EngineSettings.Memory, PrefillRate: n.scenario.EngineSettings.PrefillRate, StepTime: l.StepTime,
		})
	}
	var estimates []table.LoadEstimate
	for _, e := range n.endpoints {
		estimates = append(estimates, e.EstimateLoad(n.scenario.now, n.scenario.Nodes))
	}
	n.longPool = n.longPool.Resized(estimates)
	n.scenario.after(readInterval, n.readReports)
}

// scheduleArrival schedules the next prompt of a Poisson process at a random
// node.
func (r *scenarioRun) scheduleArrival(rnd *rand.Rand, rate float64) {
	r.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now.Sub(r.start) > r.Duration {
			return
		}
		class := load.PickClass(r.Mix, rnd)
		if n := r.nodes[rnd.IntN(len(r.nodes))]; !r.ShortOnly || class.Tokens <= maxShortTokens {
			n.routePrompt(class)
		}
		r.scheduleArrival(rnd, rate)
	})
}

// candidates returns the engines with the node's current load estimates.
func (n *node) candidates() []route.Candidate {
	cs := make([]route.Candidate, len(n.endpoints))
	for i, e := range n.endpoints {
		cs[i] = route.Candidate{Name: e.Name, Load: e.EstimateLoad(n.scenario.now, n.scenario.Nodes), InLongPool: i < n.longPool.Size(len(cs))}
	}
	return cs
}

// routePrompt chooses an engine for a new prompt and sends the prompt there. A
// prompt that is too large for one engine is split. A prompt that is rejected or
// that no engine can take is not sent.
func (n *node) routePrompt(class load.PromptClass) {
	r := n.scenario
	r.lastID++
	p := &prompt{node: n, id: ident.RequestID(fmt.Sprint(r.lastID)), class: class, arrived: r.now}
	p.workspace = r.workspaces.pickWorkspace()
	p.request = route.Request{Prompt: class.Tokens, Output: r.Output, Short: class.Tokens <= maxShortTokens, ReservedPercent: reservedPercent}
	cs := n.candidates()
	if class.Tokens+r.Output > route.LargestRequest(cs, p.request) {
		plan, err := route.SplitPrompt(cs, p.request, false)
		if err == nil && p.admit(plan.Choice, cs) {
			p.prefillSplit()
		}
		return
	}
	c, err := r.policy.Choose(route.SourceOf(cs), p.request, r.rnd)
	if err != nil || !p.admit(c, cs) {
		return
	}
	e := n.endpoints[c.Index]
	e.Calls.Add(1)
	e.AddSent(class.Tokens, r.Output, p.request.Short)
	r.after(networkDelay, func() { p.submit(c.Index, e) })
}

// prompt is a prompt in flight.
type prompt struct {
	node       *node
	id         ident.RequestID
	class      load.PromptClass
	request    route.Request
	arrived    time.Time
	firstToken time.Duration
	// workspace is the index of the workspace that sent the prompt.
	workspace int
}

// priority returns the engine priority of the prompt; engines serve lower values
// first.
func (p *prompt) priority() int {
	if p.request.Short {
		return 0
	}
	return 1
}

func (p *prompt) submit(i int, e *table.Endpoint) {
	s := &engsim.Sequence{ID: p.id, Prompt: p.class.Tokens, Output: p.node.scenario.Output, Priority: p.priority()}
	c := callbacks{onFirst: p.onFirstToken, onLast: func() { e.Calls.Add(-1); p.onLastToken() }}
	if err := p.node.scenario.engines[i].submit(s, c); err != nil {
		e.Calls.Add(-1)
	}
}

func (p *prompt) onFirstToken() { p.firstToken = p.node.scenario.now.Sub(p.arrived) + networkDelay }

func (p *prompt) onLastToken() {
	r := p.node.scenario
	r.workspaces.remove(p.workspace, p.class.Tokens)
	at := p.arrived.Sub(r.start)
	if at < warmUp {
		return
	}
	r.results = append(r.results, load.Result{
		Kind: load.Prompt, Class: p.class.Name, At: at, First: p.firstToken,
		Took: r.now.Sub(p.arrived) + networkDelay, Outcome: ident.Answered, Whole: true,
		Workspace: workspaceName(p.workspace),
	})
}

// prefillSplit reserves memory for a prompt on several engines, prefills a part
// on each and transfers the helpers' parts to the primary engine, which is that
// of the first part. It retries until the engines have memory; with admission
// control the prompt is rejected after the maximum wait for memory.
func (p *prompt) prefillSplit() {
	r := p.node.scenario
	plan, err := route.SplitPrompt(p.node.candidates(), p.request, true)
	if err != nil || !p.reserve(plan) {
		if r.AdmissionControl && r.now.Sub(p.arrived) > route.MaxMemoryWait(r.TimeLimit) {
			r.workspaces.remove(p.workspace, p.class.Tokens)
			r.recordRejection(p, "no-memory")
			return
		}
		r.after(memoryRetryInterval, p.prefillSplit)
		return
	}
	remaining := len(plan.Parts)
	for i, part := range plan.Parts {
		p.node.endpoints[part.Index].AddSent(part.Tokens, 0, false)
		s := &engsim.Sequence{ID: p.id + "-part", Prompt: part.Tokens, Output: 1, Priority: 1, HasReservation: true}
		transfer := time.Duration(0)
		if i > 0 {
			transfer = time.Duration(float64(part.Tokens) / transferRate * float64(time.Second))
		}
		transferred := func() {
			remaining--
			if remaining == 0 {
				p.generate(plan)
			}
		}
		r.engines[part.Index].submit(s, callbacks{onLast: func() { r.after(transfer, transferred) }})
	}
}

// reserve reserves the memory of all parts, or none if one engine lacks memory.
func (p *prompt) reserve(plan route.Plan) bool {
	for i, part := range plan.Parts {
		if p.node.scenario.engines[part.Index].Reserve(string(p.id), part.Tokens) == nil {
			continue
		}
		for _, reserved := range plan.Parts[:i] {
			p.node.scenario.engines[reserved.Index].Release(string(p.id))
		}
		return false
	}
	return true
}

// generate decodes the answer to a split prompt on the primary engine, then
// releases the reservations.
func (p *prompt) generate(plan route.Plan) {
	r := p.node.scenario
	s := &engsim.Sequence{ID: p.id, Prompt: 1, Output: r.Output, Priority: 1, HasReservation: true}
	r.engines[plan.Parts[0].Index].submit(s, callbacks{onFirst: p.onFirstToken, onLast: func() {
		for _, part := range plan.Parts {
			r.engines[part.Index].Release(string(p.id))
			r.engines[part.Index].startStep()
		}
		p.onLastToken()
	}})
}
