// Package engsrv is a stand-in for a model engine behind an HTTP interface.
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

// reportEvery is the time between two load snapshots.
const reportEvery = 100 * time.Millisecond

// Server is one engine.
type Server struct {
	// Address is the address to listen on.
	Address string
	Sim     engsim.Settings
	Models  []ident.ModelName
	// ChecksOrders makes the engine refuse orders with an old number.
	ChecksOrders bool
	// Lag is the age of the load that is reported.
	Lag time.Duration
	// GapPercent of the cache events are lost.
	GapPercent int
	// WeightStore is the address that models are loaded from; empty loads
	// at once.
	WeightStore string
	Seed        uint64
	// PoisonMark crashes the engine when a prompt contains it.
	PoisonMark string

	mu       sync.Mutex
	engine   *engsim.Engine
	streams  map[ident.RequestID]*stream
	wake     chan struct{}
	listener *flaky.Listener
	gen      int
	faults   faults
	history  []report
	arrivals []time.Time
	lastNum  ident.Offset
	rnd      *rand.Rand
	crash    chan time.Duration
	crashes  int
	orders   int
}

// Listen opens the listener, so that the address is known before Run.
func (s *Server) Listen() error {
	l, err := httpd.Listen(&s.Address)
	if err != nil {
		return err
	}
	s.listener = l
	s.reset()
	s.rnd = rand.New(rand.NewPCG(s.Seed, 1))
	s.crash = make(chan time.Duration, 1)
	return nil
}

func (s *Server) reset() {
	s.engine = engsim.New(s.Sim)
	s.streams = map[ident.RequestID]*stream{}
	s.wake = make(chan struct{}, 1)
	s.history = nil
	s.gen++
}

// Run serves until the context ends. A crash loses all state; the engine
// comes back on the same address after its down time.
func (s *Server) Run(ctx context.Context) error {
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

// runOnce runs until the next crash and returns the down time.
func (s *Server) runOnce(ctx context.Context) (time.Duration, error) {
	life, end := context.WithCancel(ctx)
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { s.loop(life) })
	wg.Go(func() { s.snapshots(life) })
	fail := make(chan error, 1)
	web := &httpd.Server{Handler: s.handle, Listener: s.listener}
	wg.Go(func() { fail <- web.Run(life) })
	select {
	case <-ctx.Done():
		return 0, nil
	case err := <-fail:
		return s.crashed(), err
	case d := <-s.crash:
		s.dropStreams()
		return d, nil
	}
}

// crashed returns the down time of a crash that ended the listener.
func (s *Server) crashed() time.Duration {
	select {
	case d := <-s.crash:
		s.dropStreams()
		return d
	default:
		return 0
	}
}

func (s *Server) dropStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.streams {
		t.fail()
	}
	clear(s.streams)
}

// Crash cuts all connections and stays down for a while.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	l := s.listener
	s.crashes++
	s.mu.Unlock()
	select {
	case s.crash <- down:
	default:
	}
	l.Crash()
}

// Crashes returns how often the engine crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetLeaving makes the engine refuse new work and say so in its reports.
func (s *Server) SetLeaving(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Leaving = v
}

// Arrivals returns the times at which new work arrived.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// Held returns the memory that is held now.
func (s *Server) Held() ident.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Held()
}

// loop steps the engine.
func (s *Server) loop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		stall := s.faults.stallLeft(time.Now())
		var st engsim.Step
		if stall == 0 {
			st = s.engine.Step(time.Now())
		}
		wake := s.wake
		s.mu.Unlock()
		if st.Took == 0 {
			waitFor(ctx, wake, max(stall, time.Second))
			continue
		}
		waitFor(ctx, nil, st.Took)
		s.deliver(st.Tokens)
	}
}

func waitFor(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

func (s *Server) deliver(ts []engsim.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range ts {
		if m, ok := s.streams[t.Sequence.ID]; ok && m.seq == t.Sequence {
			m.push(t)
			if t.Last {
				delete(s.streams, t.Sequence.ID)
			}
		}
	}
}

func (s *Server) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// handle serves one call.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ping":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "/generate":
		s.generate(ctx)
	case "/progress":
		s.progress(ctx)
	case "/cancel":
		s.cancel(ctx)
	case "/load":
		s.load(ctx)
	case "/events":
		s.events(ctx)
	case "/reserve":
		s.reserve(ctx)
	case "/release":
		s.release(ctx)
	case "/prefill":
		s.prefill(ctx)
	case "/export", "/import":
		s.transfer(ctx)
	case "/orders":
		s.order(ctx)
	case "/faults":
		s.setFaults(ctx)
	case "/leaving":
		s.SetLeaving(ctx.QueryArgs().GetBool("on"))
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
	}
}
