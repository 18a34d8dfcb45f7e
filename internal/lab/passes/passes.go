package passes

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind is a kind of prompts.
type Kind struct {
	Name        string
	Rate        float64
	Tokens, Max float64
	Spread      float64
	Events      float64
	MaxEvents   float64
	EventSpread float64
	Target, Gap time.Duration
	Deadline    time.Duration
	// Worth is what an answer in time is worth, Late a later one.
	Worth, Late float64
}

// Phase multiplies the rates of the kinds for some time.
type Phase struct {
	For   time.Duration
	Rates []float64
}

// Config is one play.
type Config struct {
	Engine  *topol.Engine
	Engines int
	Nodes   int
	// Delay is the time after which a node knows what another did.
	Delay  time.Duration
	Kinds  []Kind
	Phases []Phase
	Seed   uint64
	// Choose places prompts.
	Choose func(place.ServiceState, place.Request) (place.Choice, error)
}

// Result is the outcome for one kind.
type Result struct {
	Kind                     string
	Asked, InTime            int
	Refused, Failed          int
	LateFirst, LateGap       int
	Owed, Earned             float64
	FirstMean, EstimateError time.Duration
}

// Credit is the share of the worth that was earned.
func (r Result) Credit() float64 { return r.Earned / max(r.Owed, 1e-9) }

// Add sums the results of two plays; the times are summed, not averaged.
func Add(a, b []Result) []Result {
	if a == nil {
		return b
	}
	for i := range a {
		a[i].Asked += b[i].Asked
		a[i].InTime += b[i].InTime
		a[i].Refused += b[i].Refused
		a[i].Failed += b[i].Failed
		a[i].LateFirst += b[i].LateFirst
		a[i].LateGap += b[i].LateGap
		a[i].Owed += b[i].Owed
		a[i].Earned += b[i].Earned
		a[i].FirstMean += b[i].FirstMean
		a[i].EstimateError += b[i].EstimateError
	}
	return a
}

// prompt is one request.
type prompt struct {
	kind  *Kind
	index int
	// asked is when the caller first asked; returned tells that it was refused
	// then and has come back.
	asked    time.Duration
	returned bool
	Tokens   ident.Tokens
	node     int
	at       time.Duration
	estimate time.Duration
	work     works.Request
	held     *part
	// wrote and done are zero until they happen.
	wrote, done, gap time.Duration
}

// moment is something that happens at a time.
type moment struct {
	at     time.Duration
	engine *engine
	prompt *prompt
	events int
}

type agenda []moment

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(moment)) }
func (a *agenda) Pop() any {
	old := *a
	m := old[len(old)-1]
	*a = old[:len(old)-1]
	return m
}

// play is one run of a configuration.
type play struct {
	Config
	rnd     *rand.Rand
	engines map[ident.EndpointName]*engine
	list    []*topol.Endpoint
	agenda  agenda
	active  []*prompt
	all     []*prompt
	results []Result
	now     time.Duration
}

// Run plays a configuration and returns a result for each kind.
func Run(c Config) []Result {
	p := &play{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 7)), engines: map[ident.EndpointName]*engine{}}
	for i := range c.Engines {
		e := &topol.Endpoint{Name: ident.EndpointName(fmt.Sprintf("e%02d", i)), Slots: c.Engine.Slots}
		p.list = append(p.list, e)
		p.engines[e.Name] = &engine{endpoint: e, spec: c.Engine}
	}
	for _, k := range c.Kinds {
		p.results = append(p.results, Result{Kind: k.Name})
	}
	p.arrivals()
	for len(p.agenda) > 0 {
		m := heap.Pop(&p.agenda).(moment)
		p.now = m.at
		if m.prompt != nil {
			p.arrive(m.prompt, m.events)
			continue
		}
		for _, e := range m.engine.end(p.now) {
			p.next(e)
		}
	}
	p.judge()
	return p.results
}

// judge counts how the prompts ended.
func (p *play) judge() {
	for _, q := range p.all {
		res := &p.results[q.index]
		first := q.wrote - q.asked
		res.FirstMean += first
		res.EstimateError += (q.wrote - q.at - q.estimate).Abs()
		worth := q.size()
		switch {
		case q.done == 0 || q.done-q.asked > q.kind.Deadline || q.gap > max(2*time.Second, 8*q.kind.Gap):
			res.Failed++
		case first > q.kind.Target:
			res.LateFirst++
			res.Earned += q.kind.Late * worth
		case q.gap > q.kind.Gap:
			res.LateGap++
			res.Earned += q.kind.Late * worth
		default:
			res.InTime++
			res.Earned += q.kind.Worth * worth
		}
	}
	for i := range p.results {
		if n := time.Duration(p.results[i].Asked - p.results[i].Refused); n > 0 {
			p.results[i].FirstMean /= n
			p.results[i].EstimateError /= n
		}
	}
}

// arrivals draws all prompts of all phases.
func (p *play) arrivals() {
	begin := time.Duration(0)
	for _, ph := range p.Phases {
		for i := range p.Kinds {
			k := &p.Kinds[i]
			at := begin
			for rate := k.Rate * ph.Rates[i]; rate > 0; {
				at += time.Duration(p.rnd.ExpFloat64() / rate * float64(time.Second))
				if at >= begin+ph.For {
					break
				}
				pr := &prompt{kind: k, index: i, at: at, asked: at, node: p.rnd.IntN(p.Nodes), Tokens: ident.Tokens(p.draw(k.Tokens, k.Spread, k.Max))}
				heap.Push(&p.agenda, moment{at: at, prompt: pr, events: int(math.Ceil(p.draw(k.Events, k.EventSpread, k.MaxEvents)))})
			}
		}
		begin += ph.For
	}
}

// draw returns a number with a log-normal distribution of a given mean.
func (p *play) draw(mean, spread, most float64) float64 {
	mu := math.Log(mean) - spread*spread/2
	return max(1, min(most, math.Exp(mu+spread*p.rnd.NormFloat64())))
}

// known returns the requests that a node knows of.
func (p *play) known(node int) []works.Request {
	p.active = slices.DeleteFunc(p.active, func(q *prompt) bool { return q.done > 0 && q.done+p.Delay < p.now })
	var ws []works.Request
	for _, q := range p.active {
		delay := p.Delay
		if q.node == node {
			delay = 0
		}
		if q.at+delay > p.now || q.done > 0 && q.done+delay <= p.now {
			continue
		}
		w := q.work
		w.Writing = q.wrote > 0 && q.wrote+delay <= p.now
		ws = append(ws, w)
	}
	return ws
}

var origin = time.Unix(0, 0)

func (p *play) arrive(q *prompt, events int) {
	res := &p.results[q.index]
	if !q.returned {
		res.Asked++
		res.Owed += q.kind.Worth * q.size()
	}
	waited := p.now - q.asked
	output := ident.Tokens(events * p.Engine.DecodeSteps)
	never := func(ident.EndpointName) bool { return false }
	request := place.Request{
		Prompt: q.Tokens, Output: output, Target: max(time.Millisecond, q.kind.Target-waited), Gap: q.kind.Gap,
		TimeLeft: q.kind.Deadline - waited, IsRetry: q.returned,
	}
	c, err := p.Choose(place.ServiceState{
		Now: origin.Add(p.now), Endpoints: p.list, Engine: p.Engine, InFlight: p.known(q.node),
		Avoid: never, Suspect: never, Random: p.rnd.Float64,
	}, request)
	if err != nil {
		p.refuse(q, place.RetryAfter(c, request), events)
		return
	}
	q.estimate = c.Estimate
	q.work = works.Request{
		First: c.Primary.Name, Prompt: q.Tokens, Share: q.Tokens, Output: output,
		Gap: q.kind.Gap, Target: request.Target, Since: origin.Add(p.now),
	}
	for i, h := range c.Helpers {
		q.work.Helpers = append(q.work.Helpers, h.Name)
		if i < len(c.Reservations) {
			q.work.Held = append(q.work.Held, works.Reservation{Endpoint: h.Name, Tokens: c.Reservations[i]})
			q.work.Share -= c.Reservations[i]
		}
	}
	p.active = append(p.active, q)
	p.all = append(p.all, q)
	p.send(q, events)
}

// refuse lets a caller come back once.
func (p *play) refuse(q *prompt, after time.Duration, events int) {
	if q.returned || after >= q.kind.Deadline/2 {
		p.results[q.index].Refused++
		return
	}
	q.returned = true
	q.at = p.now + after
	heap.Push(&p.agenda, moment{at: q.at, prompt: q, events: events})
}

// size weighs a prompt among its kind.
func (q *prompt) size() float64 { return min(4, 0.3+0.7*float64(q.Tokens)/q.kind.Tokens) }

// send gives the parts of a prompt to its engines.
func (p *play) send(q *prompt, events int) {
	n := float64(len(q.work.Helpers) + 1)
	tokens := float64(q.Tokens)
	r := &run{prompt: q, first: p.engines[q.work.First], unread: int(n), events: events}
	piece := func(own bool) *part {
		return &part{run: r, own: own, left: tokens / n, pairs: tokens / 2 / 1e6}
	}
	r.first.admit(r, piece(true))
	p.next(r.first)
	for _, h := range q.work.Helpers {
		e := p.engines[h]
		e.queue(piece(false))
		p.next(e)
	}
}

// next starts an engine's next pass if it is idle or has just ended one, and
// counts the prompts that have ended.
func (p *play) next(e *engine) {
	if e.busy && e.until > p.now {
		return
	}
	d := e.start()
	e.busy = d > 0
	if !e.busy {
		return
	}
	heap.Push(&p.agenda, moment{at: p.now + d, engine: e})
	e.until = p.now + d
}
