package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// restTime is how long an endpoint refuses requests and asks for rest.
	restTime = 4 * time.Second
	// restSettleTime is the time after the first refusal from which on requests count,
	// restAllowance how many of them each node may send.
	restSettleTime = 500 * time.Millisecond
	restAllowance  = 2
	// partTime is how long prompts with a part that crashes endpoints are sent, and
	// partProbability the share of them.
	partTime        = 8 * time.Second
	partProbability = 0.08
	// toleratedCrashes is the number of crashes after which nodes must know the part, and
	// maxLateArrivals how many prompts with it may reach endpoints later than SettleTime
	// after that.
	toleratedCrashes = 5
	maxLateArrivals  = 3
	// crashDowntime is how long an endpoint is down after such a crash.
	crashDowntime = time.Second
)

// restPeriod is a time in which an endpoint refuses requests with the time for which it
// wants none. It is safe for concurrent use.
type restPeriod struct {
	endpoint ident.EndpointName
	// asked is the node whose requests are refused; if it is empty, those of all are.
	asked       ident.NodeName
	from, until time.Time

	mu sync.Mutex
	// arrivals holds the times of the refused requests of each node.
	arrivals map[ident.NodeName][]time.Time
}

// refuses reports whether a request of a node is refused, and counts it.
func (r *restPeriod) refuses(n ident.NodeName, now time.Time) bool {
	if r.asked != "" && r.asked != n {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrivals == nil {
		r.arrivals = map[ident.NodeName][]time.Time{}
	}
	r.arrivals[n] = append(r.arrivals[n], now)
	return true
}

// late returns the number of requests of each node that arrived later than restSettleTime
// after it was refused for the first time.
func (r *restPeriod) late() map[ident.NodeName]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := map[ident.NodeName]int{}
	for n, times := range r.arrivals {
		for _, at := range times {
			if at.Sub(times[0]) > restSettleTime && at.Before(r.until) {
				late[n]++
			}
		}
	}
	return late
}

// restEndpoint injects RestEndpoint: the endpoint asks all nodes for rest, or one if asked
// is not empty.
func (s *Soak) restEndpoint(ctx context.Context, e *endpointServer, asked ident.NodeName) {
	now := time.Now()
	r := &restPeriod{endpoint: e.endpoint().Name, asked: asked, from: now, until: now.Add(restTime)}
	if !e.rest.CompareAndSwap(nil, r) {
		return
	}
	delay.For(ctx, restTime)
	e.rest.Store(nil)
	for n, late := range r.late() {
		if late > restAllowance && n != "" && s.journal.isCalmNode(n, r.from, r.until) {
			s.journal.AddViolation("rest", "%s asked %s for rest and got %d requests of it later than %v after that", r.endpoint, n, late, restSettleTime)
		}
	}
}

// isCalmNode reports whether no fault of a node itself, nor a cut of its links, overlaps a
// period.
func (j *Journal) isCalmNode(n ident.NodeName, from, to time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range j.disturbances {
		if (d.Node == n || d.Kind == KillAll.String()) && d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// stateLeaving injects StateLeaving: the endpoint says in all its answers that it is
// leaving, while its record stays as it is. Then another one takes its place.
func (s *Soak) stateLeaving(ctx context.Context, e *endpointServer) error {
	e.replaceLock.Lock()
	defer e.replaceLock.Unlock()
	name := e.endpoint().Name
	e.statesLeaving.Store(true)
	delay.For(ctx, s.Bounds.DrainDelay+extraServeTime)
	s.store.Put(feeds.Endpoints, string(name), nil)
	delay.For(ctx, s.Bounds.DrainDelay)
	e.stop()
	e.statesLeaving.Store(false)
	return s.restartEndpoint(ctx, e)
}

// crashingPart is a part of prompts that crashes the endpoints which begin to answer them.
// It is safe for concurrent use.
type crashingPart struct {
	id string

	mu                sync.Mutex
	crashes, arrivals []time.Time
}

func (p *crashingPart) recordArrival(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, now)
}

func (p *crashingPart) recordCrash(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, now)
}

// late returns the number of arrivals later than settle after toleratedCrashes, the number
// of crashes and the time of the first one.
func (p *crashingPart) late(settle time.Duration) (n, crashes int, first time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < toleratedCrashes {
		return 0, len(p.crashes), time.Time{}
	}
	limit := p.crashes[toleratedCrashes-1].Add(settle)
	for _, at := range p.arrivals {
		if at.After(limit) {
			n++
		}
	}
	return n, len(p.crashes), p.crashes[0]
}

// crashByPart injects CrashByPart: callers send prompts with a part that crashes endpoints.
func (s *Soak) crashByPart(ctx context.Context, index int) {
	p := &crashingPart{id: fmt.Sprintf("bad%x", index)}
	if !s.crashing.CompareAndSwap(nil, p) {
		return
	}
	delay.For(ctx, partTime)
	s.crashing.Store(nil)
	n, crashes, first := p.late(s.Bounds.SettleTime)
	if n > maxLateArrivals && !s.journal.nodesRestarted(first) {
		s.journal.AddViolation("part", "%d prompts with the part %s reached endpoints later than %v after %d crashes, %d in all", n, p.id, s.Bounds.SettleTime, toleratedCrashes, crashes)
	}
}

// nodesRestarted reports whether all nodes were killed at one time since a time, after
// which none of them knows what they knew.
func (j *Journal) nodesRestarted(since time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range j.disturbances {
		if d.Kind == KillAll.String() && d.overlaps(since, time.Now()) {
			return true
		}
	}
	return false
}

// crash stops an endpoint that began to answer a prompt with a crashing part, and starts it
// again later.
func (s *Soak) crash(ctx context.Context, e *endpointServer, p *crashingPart) {
	if !e.replaceLock.TryLock() {
		return
	}
	defer e.replaceLock.Unlock()
	p.recordCrash(time.Now())
	e.stop()
	delay.For(ctx, crashDowntime)
	if ctx.Err() != nil {
		return
	}
	record := e.endpoint()
	record.Born = time.Now().UnixMilli()
	if err := e.start(record); err != nil {
		s.journal.AddViolation("soak", "start an endpoint that crashed: %v", err)
		return
	}
	if err := s.publishEndpoint(record); err != nil {
		s.journal.AddViolation("soak", "publish an endpoint that crashed: %v", err)
	}
}

// requestParts returns the parts of a prompt: one that all share, one that some share, the
// given one if it isn't empty, and one of its own.
func requestParts(id, crashing string) []string {
	parts := []string{"a1", fmt.Sprintf("b%d", len(id)+int(id[len(id)-1])%8)}
	if crashing != "" {
		parts = append(parts, crashing)
	}
	return append(parts, "c"+id)
}

// isPrompt reports whether requests of a kind are prompts.
func isPrompt(k topol.Kind) bool { return k == topol.Stream }
