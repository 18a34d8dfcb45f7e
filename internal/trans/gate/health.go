package gate

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// minAvoidTime is how long an endpoint is avoided after its first failure.
	// Each further failure doubles the time, up to maxAvoidTime.
	minAvoidTime = 1500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
	// trialInterval is how long a failing endpoint is avoided each time it has
	// been chosen for a request, so that few requests are sent to it until it
	// answers one.
	trialInterval = 400 * time.Millisecond
	// suspectTime is how long an endpoint that failed is not used as a helper
	// after it is no longer avoided, unless it answers earlier.
	suspectTime = 4 * time.Second
	// floodAvoidTime is how long an endpoint is avoided after it sent an answer without end,
	// whatever else it answers.
	floodAvoidTime = 8 * time.Second
)

// endpointHealth tracks the endpoints that have not answered since they failed.
// An avoided endpoint is chosen only if there is no other. It is safe for
// concurrent use.
type endpointHealth struct {
	mu      sync.Mutex
	failing map[ident.EndpointName]*failureState
	// floodedAt is when endpoints last sent an answer without end.
	floodedAt map[ident.EndpointName]time.Time
}

// failureState is the state of an endpoint that has not answered since it
// failed.
type failureState struct {
	failures int
	// avoidUntil is the end of the avoidance after the last failure or after
	// the last request for which the endpoint was chosen.
	avoidUntil time.Time
}

// recordFailure records a failure and reports whether the endpoint is newly
// avoided. Failures of an endpoint that is already avoided don't count.
func (h *endpointHealth) recordFailure(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing == nil {
		h.failing = map[ident.EndpointName]*failureState{}
	}
	f := h.failing[n]
	if f == nil {
		f = &failureState{}
		h.failing[n] = f
	}
	if now.Before(f.avoidUntil) && f.failures > 0 {
		return false
	}
	f.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(f.failures, 4)))
	f.failures++
	return true
}

// recordFlood records that an endpoint sent an answer without end, and reports whether it is
// newly avoided for that.
func (h *endpointHealth) recordFlood(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNew := !h.isFlooding(n, now)
	for o := range h.floodedAt {
		if !h.isFlooding(o, now) {
			delete(h.floodedAt, o)
		}
	}
	if h.floodedAt == nil {
		h.floodedAt = map[ident.EndpointName]time.Time{}
	}
	h.floodedAt[n] = now
	return isNew
}

// isFlooding reports whether an endpoint is avoided for an answer without end. The caller must
// hold h.mu.
func (h *endpointHealth) isFlooding(n ident.EndpointName, now time.Time) bool {
	at, ok := h.floodedAt[n]
	return ok && now.Sub(at) < floodAvoidTime
}

// recordSuccess clears the failures of an endpoint.
func (h *endpointHealth) recordSuccess(n ident.EndpointName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failing, n)
}

// recordChosen records that an endpoint was chosen for a request. If it has not
// answered since it failed, it is avoided for trialInterval, unless it answers
// earlier.
func (h *endpointHealth) recordChosen(n ident.EndpointName, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.failing[n]; f != nil {
		f.avoidUntil = now.Add(trialInterval)
	}
}

// isFailing reports whether an endpoint has not answered since it failed.
func (h *endpointHealth) isFailing(n ident.EndpointName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing[n] != nil
}

// isAvoided reports whether an endpoint is avoided because of a recent
// failure.
func (h *endpointHealth) isAvoided(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failing[n]
	return f != nil && now.Before(f.avoidUntil) || h.isFlooding(n, now)
}

// isSuspect reports whether an endpoint failed recently and has not answered
// since.
func (h *endpointHealth) isSuspect(n ident.EndpointName, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failing[n]
	return f != nil && now.Before(f.avoidUntil.Add(suspectTime)) || h.isFlooding(n, now)
}
