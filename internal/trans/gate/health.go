package gate

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// avoidFirst is how long an endpoint is avoided after its first failure;
	// each further one doubles it, up to avoidMost.
	avoidFirst = time.Second
	avoidMost  = 8 * time.Second
)

// health notes which endpoints failed of late. It is safe for concurrent use.
type health struct {
	mu sync.Mutex
	m  map[ident.EndpointName]*failing
}

type failing struct {
	count int
	until time.Time
}

// failed notes a failure.
func (h *health) failed(n ident.EndpointName, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.m == nil {
		h.m = map[ident.EndpointName]*failing{}
	}
	f := h.m[n]
	if f == nil {
		f = &failing{}
		h.m[n] = f
	}
	if now.Before(f.until) {
		return
	}
	f.until = now.Add(min(avoidMost, avoidFirst<<min(f.count, 4)))
	f.count++
}

// worked forgets the failures of an endpoint.
func (h *health) worked(n ident.EndpointName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.m, n)
}

// avoid reports whether an endpoint failed of late.
func (h *health) avoid(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.m[n]
	return f != nil && now.Before(f.until)
}
