// Package engsrv is a stand-in for a model engine: it serves a simulated engine
// over HTTP.
package engsrv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

// snapshotInterval is the time between two load snapshots.
const snapshotInterval = 100 * time.Millisecond

// Server is one engine with its HTTP interface. The exported fields are set
// before Listen.
type Server struct {
	// Address is the address to listen on. Listen sets the port if it is zero.
	Address string
	// EngineSettings holds the settings of the simulated engine.
	EngineSettings engsim.Settings
	// Models are the models that the engine serves. Orders change them.
	Models []ident.ModelName
	// ChecksOrders makes the engine reject orders whose fencing number is lower
	// than the highest so far.
	ChecksOrders bool
	// Lag is the minimum age of the reported load once the engine has run for that
	// long. The age may be up to twice snapshotInterval more.
	Lag time.Duration
	// EventLossPercent is the percentage of cache events, chosen at random, that
	// each response leaves out.
	EventLossPercent int
	// WeightStore is the address from which models are fetched. If it is empty,
	// ordered models are available at once.
	WeightStore string
	// Seed is the seed of the random choice of lost cache events.
	Seed uint64
	// PoisonText is a text that crashes the engine if a prompt contains it. If it
	// is empty, no prompt crashes the engine.
	PoisonText string

	mu       sync.Mutex
	engine   *engsim.Engine
	streams  map[ident.RequestID]*stream
	wake     chan struct{}
	listener *flaky.Listener
	// portHold keeps the port while the server is down after a crash.
	portHold *flaky.PortHold
	// generation counts the starts of the engine.
	generation int
	faults     faults
	// loadHistory holds the load snapshots, the oldest and reported one first.
	loadHistory []loadSnapshot
	arrivals    []time.Time
	// highestNumber is the highest fencing number of the orders so far.
	highestNumber ident.Offset
	rnd           *rand.Rand
	// crashDowntime passes the downtime of a crash to runOnce.
	crashDowntime chan time.Duration
	crashCount    int
	orderCount    int
}

// Listen opens the listener and sets Address to the actual address. It is separate
// from Run so that clients can be given the address before.
func (s *Server) Listen() error {
	h, err := flaky.HoldPort(s.Address)
	if err != nil {
		return err
	}
	s.portHold, s.Address = h, h.Address
	l, err := httpd.Listen(&s.Address)
	if err != nil {
		h.Close()
		return err
	}
	s.listener = l
	s.reset()
	s.rnd = rand.New(rand.NewPCG(s.Seed, 1))
	s.crashDowntime = make(chan time.Duration, 1)
	return nil
}

// reset replaces the engine, its streams and its load history with empty ones. The
// models, the highest fencing number, the injected faults and the counters remain.
func (s *Server) reset() {
	s.engine = engsim.New(s.EngineSettings)
	s.streams = map[ident.RequestID]*stream{}
	s.wake = make(chan struct{}, 1)
	s.loadHistory = nil
	s.generation++
}

// Run serves until the context ends. After a crash, the engine restarts on the
// same address at the end of its downtime, without its sequences, reservations and
// cache.
func (s *Server) Run(ctx context.Context) error {
	defer s.portHold.Close()
	for {
		down, err := s.runOnce(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(down):
		}
		if err := s.relisten(); err != nil {
			return err
		}
	}
}

// relisten opens the listener again after a crash.
func (s *Server) relisten() error {
	l, err := flaky.Listen(s.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.reset()
	return nil
}

// runOnce serves until the next crash, whose downtime it returns, or until the
// context ends.
func (s *Server) runOnce(ctx context.Context) (time.Duration, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.runSteps(runCtx) })
	wg.Go(func() { s.recordLoad(runCtx) })
	serveErr := make(chan error, 1)
	server := &httpd.Server{Handler: s.handle, Listener: s.listener}
	wg.Go(func() { serveErr <- server.Run(runCtx) })
	select {
	case <-ctx.Done():
		return 0, nil
	case err := <-serveErr:
		return s.pendingDowntime(), err
	case d := <-s.crashDowntime:
		s.abortStreams()
		return d, nil
	}
}

// pendingDowntime returns the downtime of the crash that closed the listener, or
// zero if there was none.
func (s *Server) pendingDowntime() time.Duration {
	select {
	case d := <-s.crashDowntime:
		s.abortStreams()
		return d
	default:
		return 0
	}
}

// abortStreams ends all streams with errAborted.
func (s *Server) abortStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.streams {
		t.abort()
	}
	clear(s.streams)
}

// Crash resets all connections and keeps the engine down for the given time.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	l := s.listener
	s.crashCount++
	s.mu.Unlock()
	select {
	case s.crashDowntime <- down:
	default:
	}
	l.Crash()
}

// CrashCount returns the number of crashes.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashCount
}

// SetLeaving sets whether the engine is leaving. A leaving engine rejects new
// requests, and its reports have Leaving set.
func (s *Server) SetLeaving(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Leaving = v
}

// Arrivals returns the times at which prompts, and parts of prompts to prefill,
// were submitted to the engine, including those that the engine rejected.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// UsedMemory returns the memory that sequences and reservations use now.
func (s *Server) UsedMemory() ident.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.UsedMemory()
}

// runSteps runs the engine's steps until the context ends. While no sequence can
// run or the engine is stalled, it waits for wakeSteps, but at most for a second
// or the rest of the stall, whichever is longer.
func (s *Server) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		stall := s.faults.stallLeft(time.Now())
		var st engsim.Step
		if stall == 0 {
			st = s.engine.Step(time.Now())
		}
		wake := s.wake
		s.mu.Unlock()
		if st.Duration == 0 {
			sleepOrWake(ctx, wake, max(stall, time.Second))
			continue
		}
		sleepOrWake(ctx, nil, st.Duration)
		s.deliver(st.Tokens)
	}
}

// sleepOrWake waits until d has passed, wake receives a value or the context ends.
func sleepOrWake(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// deliver passes generated tokens to the streams of their sequences.
func (s *Server) deliver(ts []engsim.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range ts {
		if st, ok := s.streams[t.Sequence.ID]; ok && st.seq == t.Sequence {
			st.push(t)
			if t.IsLast {
				delete(s.streams, t.Sequence.ID)
			}
		}
	}
}

// wakeSteps wakes runSteps up if the engine is idle or stalled. s.mu must be held.
func (s *Server) wakeSteps() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// handle dispatches an HTTP request by its path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ping":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "/generate":
		s.handleGenerate(ctx)
	case "/progress":
		s.handleProgress(ctx)
	case "/cancel":
		s.handleCancel(ctx)
	case "/load":
		s.handleLoad(ctx)
	case "/events":
		s.handleEvents(ctx)
	case "/reserve":
		s.handleReserve(ctx)
	case "/release":
		s.handleRelease(ctx)
	case "/prefill":
		s.handlePrefill(ctx)
	case "/export", "/import":
		s.handleTransfer(ctx)
	case "/orders":
		s.handleOrder(ctx)
	case "/faults":
		s.handleFaults(ctx)
	case "/leaving":
		s.SetLeaving(ctx.QueryArgs().GetBool("on"))
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
	}
}
