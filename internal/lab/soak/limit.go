package soak

import (
	"fmt"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// limitSettleTime is the time after a limit was first named from which on nodes
	// must keep within it.
	limitSettleTime = 3 * time.Second
	// In each limitWindow, an endpoint may get limitFactor times what its limit
	// allows, and limitExtra requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitPeriod is a time in which an endpoint names a limit. It is safe for concurrent
// use.
type limitPeriod struct {
	endpoint ident.EndpointName
	namedAt  time.Time

	mu       sync.Mutex
	arrivals []time.Time
}

// recordArrival records that a request arrived at the endpoint.
func (l *limitPeriod) recordArrival(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, now)
}

// check returns a description of the first window with too many requests, or an empty
// string.
func (l *limitPeriod) check() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	const allowed = int(limitFactor*limitRate*float64(limitWindow/time.Second)) + limitExtra
	settled := l.namedAt.Add(limitSettleTime)
	first := 0
	for i, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) > limitWindow || l.arrivals[first].Before(settled) && first < i {
			first++
		}
		if n := i - first + 1; n > allowed {
			return fmt.Sprintf("%s named a limit of %v requests a second and got %d in %v, allowed are %d", l.endpoint, limitRate, n, limitWindow, allowed)
		}
	}
	return ""
}
