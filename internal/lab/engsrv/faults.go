package engsrv

import (
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// Faults are failures on command; zero fields change nothing.
type Faults struct {
	// CrashMillis crashes the engine and keeps it down for so long.
	CrashMillis int
	// StallMillis stops all progress for so long.
	StallMillis int
	// Silence makes the open connections go silent.
	Silence bool
	// RefuseMillis refuses new work for so long.
	RefuseMillis int
	// LateMillis delays the first token of each answer, until set again.
	LateMillis int
}

type faults struct {
	stalledUntil time.Time
	refusedUntil time.Time
	late         time.Duration
}

func (f *faults) stallLeft(now time.Time) time.Duration {
	return max(0, f.stalledUntil.Sub(now))
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Inject applies faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	now := time.Now()
	if f.StallMillis > 0 {
		s.faults.stalledUntil = now.Add(millis(f.StallMillis))
	}
	if f.RefuseMillis > 0 {
		s.faults.refusedUntil = now.Add(millis(f.RefuseMillis))
	}
	s.faults.late = millis(f.LateMillis)
	l := s.listener
	s.mu.Unlock()
	if f.Silence {
		l.Silence()
	}
	if f.CrashMillis > 0 {
		s.Crash(millis(f.CrashMillis))
	}
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
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

func (s *Server) lateBy() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.late
}

// accepts refuses the call while the engine is told to refuse new work.
func (s *Server) accepts(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.faults.refusedUntil) {
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, "refused", "engine refuses new work")
		return false
	}
	return true
}
