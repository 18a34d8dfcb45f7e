// Package weight is a stand-in for the rate-limited store of model weights.
package weight

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
)

// Server is a stand-in for the weight store. The exported fields are set before
// Listen.
type Server struct {
	// Address is the address to listen on. Listen sets the port if it is zero.
	Address string
	// Interval is the minimum time between two fetches. A fetch that comes sooner
	// fails with status 429.
	Interval time.Duration

	mu        sync.Mutex
	lastFetch time.Time
	web       httpd.Server
}

// Listen opens the listener and sets Address to the actual address, so that it is
// available before Run.
func (s *Server) Listen() error {
	s.web.Handler = s.handle
	return s.web.Listen(&s.Address)
}

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) error { return s.web.Run(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/fetch" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
		return
	}
	if !s.allow(time.Now()) {
		httpd.WriteError(ctx, fasthttp.StatusTooManyRequests, "rate", "too many fetches")
	}
}

// allow reports whether a fetch is allowed now, and records it if so.
func (s *Server) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastFetch) < s.Interval {
		return false
	}
	s.lastFetch = now
	return true
}
