// Package plain is a stand-in for a plain service: bookings that must run at
// most once, and status checks.
package plain

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// Runs counts how often the requests with each idempotency key ran. Services
// of one fleet share it.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{counts: map[string]int{}} }

func (r *Runs) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
	return r.counts[key]
}

// Counts returns a copy of the counts by key.
func (r *Runs) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Faults are failures on command; zero fields change nothing.
type Faults struct {
	// LoseAnswers runs the next bookings but cuts their answers.
	LoseAnswers int
	// RefuseMillis refuses all requests before running, for so long.
	RefuseMillis int
	// Silence makes the open connections go silent.
	Silence bool
	// WorkMillis is the time of each request, until set again.
	WorkMillis int
}

// Server is one service.
type Server struct {
	// Address is the address to listen on.
	Address string
	// Work is the time that a request takes.
	Work time.Duration
	Runs *Runs
	// OnlyRuns answers every call with the counts of runs.
	OnlyRuns bool

	mu       sync.Mutex
	listener *flaky.Listener
	refused  time.Time
	lose     int
}

// Booking is the answer to a booking.
type Booking struct {
	Key    string
	Run    int
	Status string
}

// Listen opens the listener, so that the address is known before Run.
func (s *Server) Listen() error {
	l, err := httpd.Listen(&s.Address)
	if err != nil {
		return err
	}
	s.listener = l
	return nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	web := &httpd.Server{Handler: s.handle, Listener: s.listener}
	return web.Run(ctx)
}

// Inject applies faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose += f.LoseAnswers
	if f.RefuseMillis > 0 {
		s.refused = time.Now().Add(time.Duration(f.RefuseMillis) * time.Millisecond)
	}
	if f.WorkMillis > 0 {
		s.Work = time.Duration(f.WorkMillis) * time.Millisecond
	}
	if f.Silence {
		s.listener.Silence()
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/runs" || s.OnlyRuns:
		httpd.Reply(ctx, fasthttp.StatusOK, s.Runs.Counts())
	case path == "/faults":
		var f Faults
		if httpd.Decode(ctx, &f) {
			s.Inject(f)
		}
	case path == "/load":
		httpd.Reply(ctx, fasthttp.StatusOK, map[string]bool{"Leaving": false})
	case path == "/ping":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case s.refuses():
		ctx.Response.Header.Set("Not-Run", "true")
		httpd.Fail(ctx, fasthttp.StatusServiceUnavailable, "refused", "service refuses new work")
	case ctx.IsPost() && strings.HasPrefix(path, "/bookings"):
		s.book(ctx)
	case strings.HasPrefix(path, "/bookings"):
		s.status(ctx)
	default:
		httpd.Fail(ctx, fasthttp.StatusNotFound, "not-found", "no such page")
	}
}

func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.refused)
}

func (s *Server) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Work
}

func (s *Server) book(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	time.Sleep(s.work())
	n := s.Runs.add(key)
	if s.losesAnswer() {
		ctx.Conn().Close()
		return
	}
	httpd.Reply(ctx, fasthttp.StatusCreated, Booking{Key: key, Run: n, Status: "booked"})
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	time.Sleep(s.work())
	id := strings.TrimPrefix(string(ctx.Path()), "/bookings/")
	httpd.Reply(ctx, fasthttp.StatusOK, Booking{Key: id, Status: fmt.Sprintf("known-%s", id)})
}
