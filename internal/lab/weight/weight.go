// Package weight is a stand-in for the rate-limited weight store.
package weight

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// Server is the weight store.
type Server struct {
	// Address is the address to listen on.
	Address string
	// Interval is the least time between two fetches.
	Interval time.Duration

	mu       sync.Mutex
	last     time.Time
	listener *flaky.Listener
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

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/fetch" {
		httpd.Fail(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
		return
	}
	if !s.take(time.Now()) {
		httpd.Fail(ctx, fasthttp.StatusTooManyRequests, "rate", "too many fetches")
	}
}

func (s *Server) take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.last) < s.Interval {
		return false
	}
	s.last = now
	return true
}
