package gate

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// avoidFirst is how long an endpoint is avoided after its first failure;
	// each further one doubles it, up to avoidMost.
	avoidFirst = 1500 * time.Millisecond
	avoidMost  = 8 * time.Second
	// trialEvery is the least pause between two requests to an endpoint that
	// has not answered since it failed.
	trialEvery = 400 * time.Millisecond
	// suspectFor is how long after its time out an endpoint is no helper
	// unless it has answered.
	suspectFor = 4 * time.Second
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

// failed notes a failure. It reports whether the endpoint is newly avoided.
func (h *health) failed(n ident.EndpointName, now time.Time) bool {
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
	if now.Before(f.until) && f.count > 0 {
		return false
	}
	f.until = now.Add(min(avoidMost, avoidFirst<<min(f.count, 4)))
	f.count++
	return true
}

// worked forgets the failures of an endpoint.
func (h *health) worked(n ident.EndpointName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.m, n)
}

// chosen notes that an endpoint gets a request. If it has failed before, it
// gets no other for a while, until it answers.
func (h *health) chosen(n ident.EndpointName, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.m[n]; f != nil {
		f.until = now.Add(trialEvery)
	}
}

// avoid reports whether an endpoint failed of late.
func (h *health) avoid(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.m[n]
	return f != nil && now.Before(f.until)
}

// suspect reports whether an endpoint failed and has not answered since.
func (h *health) suspect(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.m[n]
	return f != nil && now.Before(f.until.Add(suspectFor))
}
