package passes

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// prompt is a caller's request with its placement and its times.
type prompt struct {
	kind      *Kind
	kindIndex int
	// arrivedAt is the time of the first attempt to place the prompt. isRetry is
	// set once that attempt has been refused.
	arrivedAt time.Duration
	isRetry   bool
	// key identifies the prompt among all of the simulation.
	key    bysize.RequestKey
	tokens ident.Tokens
	node   int
	// attemptAt is the time of the latest attempt.
	attemptAt time.Duration
	// estimate is the time to the first event that was estimated at placement.
	estimate time.Duration
	// waits is set if the prompt was sent to wait for a slot, with the lowest urgency.
	waits bool
	// inFlight is the placed request as nodes see it.
	inFlight works.Request
	// queuedPart is the primary engine's part while the prompt waits for a
	// slot there.
	queuedPart *promptPart
	// firstEventAt and endedAt are zero until the first and the last event.
	// maxGap is the longest pause between two events.
	firstEventAt, endedAt, maxGap time.Duration
}

// simEvent is a scheduled event of the simulation: an attempt to place prompt,
// or if that is nil, the end of an iteration of engine.
type simEvent struct {
	at     time.Duration
	engine *engine
	prompt *prompt
	// answerEvents is the number of events in the prompt's answer.
	answerEvents int
}

// eventHeap implements heap.Interface; the earliest event comes first.
type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	Config
	rnd       *rand.Rand
	engines   map[ident.EndpointName]*engine
	endpoints []*topol.Endpoint
	events    eventHeap
	// arrived holds all prompts by kind, placed those that were placed, and active
	// those of them that some node may still see as in flight.
	arrived [][]*prompt
	active  []*prompt
	placed  []*prompt
	results []Result
	now     time.Duration
	// promptCount is the number of prompts, and the key of the last one.
	promptCount bysize.RequestKey
	// decisions holds what the nodes know of each other's decisions on prompts.
	decisions sharedDecisions
}

// Run runs a simulation until all prompts have ended and returns a result for
// each kind.
func Run(c Config) []Result {
	s := &simulation{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 7)), engines: map[ident.EndpointName]*engine{}}
	for i := range c.EngineCount {
		e := &topol.Endpoint{Name: ident.EndpointName(fmt.Sprintf("e%02d", i)), Slots: c.Engine.Slots}
		s.endpoints = append(s.endpoints, e)
		s.engines[e.Name] = &engine{endpoint: e, spec: c.Engine}
	}
	for _, k := range c.Kinds {
		s.results = append(s.results, Result{Kind: k.Name})
	}
	s.arrived = make([][]*prompt, len(c.Kinds))
	s.scheduleArrivals()
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		if ev.prompt != nil {
			s.placePrompt(ev.prompt, ev.answerEvents)
			continue
		}
		for _, e := range ev.engine.finishIteration(s.now) {
			s.startNext(e)
		}
	}
	s.computeResults()
	return s.results
}

// origin is the wall-clock time at which the virtual time starts.
var origin = time.Unix(0, 0)

// startNext starts an engine's next iteration unless one is still running.
func (s *simulation) startNext(e *engine) {
	if e.busy && e.iterationEnd > s.now {
		return
	}
	d := e.startIteration()
	e.busy = d > 0
	if !e.busy {
		return
	}
	heap.Push(&s.events, simEvent{at: s.now + d, engine: e})
	e.iterationEnd = s.now + d
}
