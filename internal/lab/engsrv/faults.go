package engsrv

import (
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// Faults are failures to inject. A zero field injects nothing, but a zero
// LateMillis ends an earlier delay.
type Faults struct {
	// CrashMillis makes the engine crash and stay down for that many milliseconds.
	CrashMillis int
	// StallMillis is how long the engine runs no steps, in milliseconds. It may
	// resume up to a second later.
	StallMillis int
	// Silence makes the open connections drop all bytes in both directions. New
	// connections work.
	Silence bool
	// RefuseMillis is how long requests to generate, reserve or prefill are
	// refused, in milliseconds.
	RefuseMillis int
	// LateMillis delays the first token of each answer, in milliseconds.
	LateMillis int
}

// faults are the injected faults in effect.
type faults struct {
	stalledUntil    time.Time
	refusedUntil    time.Time
	firstTokenDelay time.Duration
}

// stallLeft returns how much longer the engine is stalled.
func (f *faults) stallLeft(now time.Time) time.Duration {
	return max(0, f.stalledUntil.Sub(now))
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Inject injects faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	now := time.Now()
	if f.StallMillis > 0 {
		s.faults.stalledUntil = now.Add(millis(f.StallMillis))
	}
	if f.RefuseMillis > 0 {
		s.faults.refusedUntil = now.Add(millis(f.RefuseMillis))
	}
	s.faults.firstTokenDelay = millis(f.LateMillis)
	l := s.listener
	s.mu.Unlock()
	if f.Silence {
		l.Silence()
	}
	if f.CrashMillis > 0 {
		s.Crash(millis(f.CrashMillis))
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if !httpd.DecodeBody(ctx, &f) {
		return
	}
	if f.CrashMillis > 0 {
		go s.Inject(f)
		return
	}
	s.Inject(f)
}

func (s *Server) firstTokenDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.firstTokenDelay
}

// acceptsRequests reports whether the engine accepts requests to generate, reserve
// or prefill. While an injected fault makes it refuse them, acceptsRequests
// responds to ctx with status 503.
func (s *Server) acceptsRequests(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.faults.refusedUntil) {
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, "refused", "engine refuses new work")
		return false
	}
	return true
}
