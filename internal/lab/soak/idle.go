package soak

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
)

const (
	// defaultIdleTimeout is the limit for idle connections of callers until a fault
	// changes it.
	defaultIdleTimeout = 30 * time.Second
	// seriesLength is the number of configurations of a series, seriesInterval the pause
	// between two of them.
	seriesLength   = 8
	seriesInterval = 250 * time.Millisecond
	// routeTimeoutChange is what each second configuration of a series adds to the
	// timeouts of the routes.
	routeTimeoutChange = 2 * time.Second
)

// idleTimeouts are the limits for idle connections that ChangeIdle sets.
var idleTimeouts = [...]time.Duration{time.Second, 10 * time.Second, 2 * time.Second, 5 * time.Second, 3 * time.Second}

// idleLimit is a limit for idle connections and the time in which it was in force.
type idleLimit struct {
	limit time.Duration
	// until is zero while the limit is in force.
	from, until time.Time
}

// StartIdleLimit records that a configuration with a limit for idle connections is about
// to be written. The returned function records that it replaced the one before.
func (j *Journal) StartIdleLimit(limit time.Duration) (written func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	last := len(j.idleLimits) - 1
	j.idleLimits = append(j.idleLimits, idleLimit{limit: limit, from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		if last >= 0 {
			j.idleLimits[last].until = time.Now()
		}
	}
}

// largestIdleLimit returns the largest limit in force in a period. A limit that was
// replaced counts for the time settle longer. The caller holds j.mu.
func (j *Journal) largestIdleLimit(from, to time.Time, settle time.Duration) time.Duration {
	var largest time.Duration
	for _, l := range j.idleLimits {
		if l.from.Before(to) && (l.until.IsZero() || l.until.Add(settle).After(from)) {
			largest = max(largest, l.limit)
		}
	}
	return largest
}

// smallestIdleLimit returns the smallest limit of the test. The caller holds j.mu.
func (j *Journal) smallestIdleLimit() time.Duration {
	smallest := defaultIdleTimeout
	for _, l := range j.idleLimits {
		smallest = min(smallest, l.limit)
	}
	return smallest
}

// idleTimeout returns the limit for idle connections of the newest configuration.
func (s *Soak) idleTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idleLimit
}

// changeIdle injects ChangeIdle: it writes a configuration with another limit for idle
// connections.
func (s *Soak) changeIdle(index int) error {
	s.idleLock.Lock()
	defer s.idleLock.Unlock()
	limit := idleTimeouts[index%len(idleTimeouts)]
	if limit == s.idleTimeout() {
		limit = idleTimeouts[(index+1)%len(idleTimeouts)]
	}
	s.mu.Lock()
	s.idleLimit = limit
	s.mu.Unlock()
	written := s.journal.StartIdleLimit(limit)
	defer written()
	return s.publishConfig()
}

// changeInSeries injects ConfigSeries: configurations follow one another, and change the
// limit for idle connections and the timeouts of the routes in turn.
func (s *Soak) changeInSeries(ctx context.Context, index int) error {
	for i := range seriesLength {
		if err := s.changeOne(index + i); err != nil {
			return err
		}
		if !delay.For(ctx, seriesInterval) {
			return nil
		}
	}
	return nil
}

func (s *Soak) changeOne(index int) error {
	if index%2 == 0 {
		return s.changeIdle(index / 2)
	}
	s.mu.Lock()
	s.extraRouteTimeout = routeTimeoutChange - s.extraRouteTimeout
	s.mu.Unlock()
	return s.publishConfig()
}

// stopInSeries injects StopInSeries: a node is shut down in the midst of a series of
// configurations.
func (s *Soak) stopInSeries(ctx context.Context, n *process, index int) error {
	done := make(chan error, 1)
	go func() { done <- s.changeInSeries(ctx, index) }()
	delay.For(ctx, seriesInterval*3/2)
	err := n.withSignalLock(func() error { return n.stopAndRestart(ctx) })
	if seriesErr := <-done; err == nil {
		err = seriesErr
	}
	return err
}
