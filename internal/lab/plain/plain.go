// Package plain is a stand-in for a plain service. It serves bookings, which must
// run at most once, and status checks.
package plain

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// RunCounter counts how often the booking with each idempotency key ran. The
// services of a fleet share one counter.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{counts: map[string]int{}} }

// add counts a run and returns the number of runs with the key.
func (r *RunCounter) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
	return r.counts[key]
}

// Counts returns a copy of the counts by key.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Faults are failures to inject. A zero field injects nothing.
type Faults struct {
	// LoseAnswers is the number of bookings that run but whose connection is
	// then closed without a response. It adds to an earlier number.
	LoseAnswers int
	// RefuseMillis is how long bookings and status checks are refused without
	// running them, in milliseconds.
	RefuseMillis int
	// Silence makes the open connections drop all bytes in both directions; new
	// ones work.
	Silence bool
	// WorkMillis replaces the server's ServiceTime, in milliseconds.
	WorkMillis int
}

// Server is a stand-in for a plain service. The exported fields are set before
// Listen.
type Server struct {
	// Address is the address to listen on. Listen sets the port if it is zero.
	Address string
	// ServiceTime is the time that a booking or a status check takes.
	ServiceTime time.Duration
	// Runs counts the bookings that ran.
	Runs *RunCounter
	// OnlyRuns is set if the server answers every request with the counts of
	// Runs.
	OnlyRuns bool

	mu            sync.Mutex
	web           httpd.Server
	refusedUntil  time.Time
	answersToLose int
}

// Booking is the JSON body of the response to a booking or a status check.
type Booking struct {
	// Key is the idempotency key of a booking, or the ID in the path of a status
	// check.
	Key string
	// Run is how often the booking with this key has run. It is zero in the
	// response to a status check.
	Run    int
	Status string
}

// Listen opens the listener and sets Address to the actual address, so that it is
// available before Run.
func (s *Server) Listen() error {
	s.web.Handler = s.handle
	return s.web.Listen(&s.Address)
}

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) error { return s.web.Run(ctx) }

// Inject applies the given faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose += f.LoseAnswers
	if f.RefuseMillis > 0 {
		s.refusedUntil = time.Now().Add(time.Duration(f.RefuseMillis) * time.Millisecond)
	}
	if f.WorkMillis > 0 {
		s.ServiceTime = time.Duration(f.WorkMillis) * time.Millisecond
	}
	if f.Silence {
		s.web.Listener.Silence()
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/runs" || s.OnlyRuns:
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Runs.Counts())
	case path == "/faults":
		var f Faults
		if httpd.DecodeBody(ctx, &f) {
			s.Inject(f)
		}
	case path == "/load":
		httpd.WriteJSON(ctx, fasthttp.StatusOK, map[string]bool{"Leaving": false})
	case path == "/ping":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case s.isRefusing():
		ctx.Response.Header.Set("Not-Run", "true")
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, "refused", "service refuses new work")
	case ctx.IsPost() && strings.HasPrefix(path, "/bookings"):
		s.book(ctx)
	case strings.HasPrefix(path, "/bookings"):
		s.status(ctx)
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such page")
	}
}

func (s *Server) isRefusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.refusedUntil)
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ServiceTime
}

func (s *Server) book(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	time.Sleep(s.serviceTime())
	n := s.Runs.add(key)
	if s.loseNextAnswer() {
		ctx.Conn().Close()
		return
	}
	httpd.WriteJSON(ctx, fasthttp.StatusCreated, Booking{Key: key, Run: n, Status: "booked"})
}

// loseNextAnswer reports whether to lose the next answer and counts it as lost.
func (s *Server) loseNextAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose == 0 {
		return false
	}
	s.answersToLose--
	return true
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	time.Sleep(s.serviceTime())
	id := strings.TrimPrefix(string(ctx.Path()), "/bookings/")
	httpd.WriteJSON(ctx, fasthttp.StatusOK, Booking{Key: id, Status: fmt.Sprintf("known-%s", id)})
}
