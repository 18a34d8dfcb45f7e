package pace

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// promptKind describes prompts of similar size. Rates are per second.
type promptKind struct {
	rate              float64
	tokens            ident.Tokens
	events            int
	target, gap, left time.Duration
}

// engineLoad is a simulated deployment of engines, whose nodes place prompts by package place.
type engineLoad struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	spec    *topol.Engine
	nodes   []*engineNode
	engines []*loadEngine
	// told is the time until the other nodes know of a start, a first event or an end.
	told time.Duration
	// choose places a prompt, and reports whether it does so without the bounds.
	choose func(place.ServiceState, place.Request) (place.Choice, bool, error)
	// hasSlowStart is set if engines that return begin slow start.
	hasSlowStart bool
	// coldFactor is the factor on the prefill times of cold engines.
	coldFactor float64
	active     []*loadPrompt
	results    []engineResult
}

type engineResult struct{ asked, served, late, rejected, unbounded int }

// bad returns the number of answers that were late or missing.
func (r engineResult) bad() int { return r.late + r.rejected }

type engineNode struct {
	node
	slow Slow
}

type loadPrompt struct {
	kind, node                     int
	at, sentAt                     time.Duration
	firstAt, lastAt, endedAt       time.Duration
	isRetry, isLate, hasBeenServed bool
	eventsLeft, partsLeft          int
	// sends counts the sends; parts of earlier ones are void.
	sends  int
	flight works.Request
	engine *loadEngine
	turn   *Turn
}

func newEngineLoad(seed uint64, nodes, engines int) *engineLoad {
	l := &engineLoad{
		rng: rand.New(rand.NewPCG(seed, 5)), told: 30 * time.Millisecond, coldFactor: 1,
		spec: &topol.Engine{
			Slots: 12, Memory: 267_750, DecodeSteps: 57, PrefillChunk: 2048, PrefillRate: 177_000, StepTime: 850 * time.Microsecond,
			PerSequence: 4250, PerThousandContext: 2850, PerMillionPairs: 184 * time.Microsecond,
		},
	}
	for i := range engines {
		l.engines = append(l.engines, &loadEngine{endpoint: &topol.Endpoint{Name: ident.EndpointName(fmt.Sprintf("e%02d", i)), Slots: l.spec.Slots}})
	}
	for i := range nodes {
		n := &engineNode{node: *newNode(i, 0)}
		n.settle(addresses(nodes), nodes)
		l.nodes = append(l.nodes, n)
	}
	return l
}

func (l *engineLoad) after(d time.Duration, do func()) {
	heap.Push(&l.events, simEvent{l.now + d, do})
}

func (l *engineLoad) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(simEvent)
		l.now = e.at
		e.do()
	}
	l.now = until
}

// arrive lets prompts of a kind arrive at random nodes.
func (l *engineLoad) arrive(kind int, k promptKind, from, until time.Duration) {
	for len(l.results) <= kind {
		l.results = append(l.results, engineResult{})
	}
	for at := from; ; {
		at += time.Duration(l.rng.ExpFloat64() / k.rate * float64(time.Second))
		if at >= until {
			return
		}
		events := max(1, min(int(2.5*float64(k.events)), int(float64(k.events)*math.Exp(0.7*l.rng.NormFloat64()-0.245))))
		p := &loadPrompt{kind: kind, node: l.rng.IntN(len(l.nodes)), at: at, eventsLeft: events}
		p.flight = works.Request{
			Node: l.nodes[p.node].self, Prompt: k.tokens, Share: k.tokens, Output: ident.Tokens(events * l.spec.DecodeSteps), Gap: k.gap, Target: k.target,
		}
		l.after(at-l.now, func() { l.results[kind].asked++; l.place(p, k) })
	}
}

// visible returns the prompts in flight that a node knows of.
func (l *engineLoad) visible(node int) []works.Request {
	l.active = slices.DeleteFunc(l.active, func(p *loadPrompt) bool { return p.endedAt > 0 && p.endedAt+l.told < l.now })
	var ws []works.Request
	for _, p := range l.active {
		delay := l.told
		if p.node == node {
			delay = 0
		}
		if p.sentAt+delay > l.now || p.endedAt > 0 && p.endedAt+delay <= l.now {
			continue
		}
		w := p.flight
		w.Writing = p.firstAt > 0 && p.firstAt+delay <= l.now
		ws = append(ws, w)
	}
	return ws
}

// place places a prompt, as package gate does.
func (l *engineLoad) place(p *loadPrompt, k promptKind) {
	n := l.nodes[p.node]
	now, waited := n.at(l.now), l.now-p.at
	never := func(ident.EndpointName) bool { return false }
	st := place.ServiceState{Now: now, Engine: l.spec, InFlight: l.visible(p.node), Avoid: never, Suspect: never, Random: l.rng.Float64}
	r := place.Request{
		Prompt: k.tokens, Output: p.flight.Output, Target: max(time.Millisecond, k.target-waited), Gap: k.gap,
		TimeLeft: k.left - waited, IsRetry: p.isRetry, Tried: ident.Set[ident.EndpointName]{},
	}
	for _, e := range l.engines {
		if e.isStopped {
			continue
		}
		st.Endpoints = append(st.Endpoints, e.endpoint)
		if wait, ok := n.cold.Wait(Key(e.endpoint), &n.view, now); !ok || wait > 0 {
			r.Tried.Add(e.endpoint.Name)
		}
	}
	suspects := r.Tried
	st.Suspect = func(e ident.EndpointName) bool { return suspects.Has(e) || n.cold.IsCold(quota.Key{Endpoint: e}, now) }
	n.bound(&st)
	c, ignoresBounds, err := l.choose(st, r)
	if err != nil {
		l.reject(p, k, place.RetryAfter(c, r))
		return
	}
	if ignoresBounds {
		l.results[p.kind].unbounded++
	}
	key := Key(c.Primary)
	turn, ok := n.slow.Take(key, &n.view, ignoresBounds, now)
	if !ok || !n.cold.Take(key, &n.view, now) || !n.cold.Sent(key, now, now) {
		panic("a turn was not given")
	}
	p.turn = turn
	p.flight.First, p.flight.Since, p.flight.Helpers = c.Primary.Name, now, nil
	for _, h := range c.Helpers {
		p.flight.Helpers = append(p.flight.Helpers, h.Name)
	}
	l.send(p, c)
}

// bound sets the bounds of slow start.
func (n *engineNode) bound(st *place.ServiceState) {
	if n.slow.Len() == 0 {
		return
	}
	inFlight := map[ident.EndpointName]int{}
	for _, w := range st.InFlight {
		inFlight[w.First]++
	}
	bounds, others := map[ident.EndpointName]int{}, ident.Set[ident.EndpointName]{}
	for _, e := range st.Endpoints {
		if b, isSlow := n.slow.Bound(Key(e), st.Now); isSlow {
			bounds[e.Name] = b
			if !n.slow.MaySend(Key(e), inFlight[e.Name], &n.view, st.Now) {
				others.Add(e.Name)
			}
		}
	}
	st.MaxInFlight = func(e ident.EndpointName) int { return bounds[e] }
	st.IsForOthers = others.Has
}

func (l *engineLoad) reject(p *loadPrompt, k promptKind, after time.Duration) {
	if p.isRetry || l.now-p.at+after >= k.left/2 {
		l.results[p.kind].rejected++
		return
	}
	p.isRetry = true
	l.after(after, func() { l.place(p, k) })
}

func (l *engineLoad) send(p *loadPrompt, c place.Choice) {
	p.sentAt, p.sends, p.partsLeft = l.now, p.sends+1, len(c.Helpers)+1
	p.engine = l.byName(c.Primary.Name)
	l.active = append(l.active, p)
	tokens := float64(p.flight.Prompt) / float64(p.partsLeft)
	if l.now < p.engine.coldUntil {
		p.engine.sentWhileCold = append(p.engine.sentWhileCold, l.now)
	}
	p.engine.has++
	p.engine.most = max(p.engine.most, p.engine.has)
	own := &loadPart{p, tokens, true, p.sends}
	if p.engine.admitted < l.spec.Slots {
		p.engine.admitted++
		p.engine.parts = append(p.engine.parts, own)
	} else {
		p.engine.waiting = append(p.engine.waiting, own)
	}
	l.iterate(p.engine)
	for _, h := range c.Helpers {
		e := l.byName(h.Name)
		e.parts = slices.Insert(e.parts, 0, &loadPart{p, tokens, false, p.sends})
		l.iterate(e)
	}
}

// stop stops engines. What they ran is sent again.
func (l *engineLoad) stop(es []*loadEngine, kinds []promptKind) {
	for _, e := range es {
		e.isStopped = true
	}
	for _, p := range slices.Clone(l.active) {
		isLost := p.engine.isStopped
		for _, h := range p.flight.Helpers {
			isLost = isLost || p.firstAt == 0 && l.byName(h).isStopped
		}
		if p.endedAt > 0 || !isLost {
			continue
		}
		e := p.engine
		if i := slices.IndexFunc(e.waiting, func(q *loadPart) bool { return q.prompt == p }); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
			e.admitted++
		}
		l.leave(p)
		p.sends++
		again := &loadPrompt{
			kind: p.kind, node: p.node, at: p.at, lastAt: p.lastAt, isRetry: true, isLate: p.isLate, hasBeenServed: p.hasBeenServed,
			eventsLeft: p.eventsLeft, flight: p.flight,
		}
		l.after(0, func() { l.place(again, kinds[again.kind]) })
	}
	for _, e := range es {
		e.parts, e.waiting, e.decoding, e.admitted, e.has = nil, nil, nil, 0, 0
	}
}

// start starts engines again, which are cold for a time.
func (l *engineLoad) start(es []*loadEngine, cold time.Duration) {
	for _, e := range es {
		e.isStopped, e.coldUntil, e.most = false, l.now+cold, 0
		key := Key(e.endpoint)
		for _, n := range l.nodes {
			n.cold.Assume(key, stated, cold, n.at(l.now))
			if l.hasSlowStart {
				n.slow.Begin(key, e.endpoint.Slots, FirstBound(e.endpoint.Slots), SlowTime(cold), n.at(l.now))
			}
		}
	}
}
