package gate

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// Drain starts the graceful shutdown: from now on, responses announce the close of the
// caller's connection when their header is written, and requests that may not finish in
// time are rejected.
func (s *Server) Drain() {
	s.drainFrom(time.Now())
	s.AnnounceStatus()
}

func (s *Server) drainFrom(t time.Time) {
	s.drainStart.Store(t.UnixNano())
	s.draining.Store(true)
}

// rejectsNew reports whether new requests of a kind are rejected because the
// node may stop before they finish.
func (s *Server) rejectsNew(k topol.Kind, now time.Time) bool {
	if !s.draining.Load() {
		return false
	}
	since := now.Sub(time.Unix(0, s.drainStart.Load()))
	if k == topol.Stream {
		return since > streamAcceptPeriod
	}
	return since > s.GracePeriod-plainAcceptMargin
}

const (
	// streamAcceptPeriod is how long after the stop signal new streams are
	// accepted. Other requests are accepted until plainAcceptMargin before the
	// end of the grace period.
	streamAcceptPeriod = 2500 * time.Millisecond
	plainAcceptMargin  = 2500 * time.Millisecond
	// answerMargin is the time before the end of the grace period at which requests that
	// arrived during a drain are answered at the latest.
	answerMargin = 700 * time.Millisecond
	// stopPollInterval is the pause between two looks for open connections.
	stopPollInterval = 5 * time.Millisecond
)

// boundByStop sets the deadline to the time by which the caller must be answered before the
// process ends, if that is earlier. A stream may go on to the end.
func (x *exchange) boundByStop() {
	s := x.server
	if !s.draining.Load() || x.route.Kind == topol.Stream {
		return
	}
	end := time.Unix(0, s.drainStart.Load()).Add(s.GracePeriod - answerMargin)
	if x.deadline.After(end) {
		x.deadline, x.endsWithNode = end, true
	}
}

// MayStop reports whether no request is under way and no caller may still send one on its
// open connection.
func (s *Server) MayStop(now time.Time) bool {
	if s.inFlightCount.Load() > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.mayBeUsed(now) {
			return false
		}
	}
	return true
}

// Stop accepts no more connections and closes those without a request. It returns when no
// connection is open and no request is under way, or when the context ends; then requests
// whose response has not begun have been answered with status 502.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	s.mu.Lock()
	l, acceptEnded := s.listener, s.acceptEnded
	s.mu.Unlock()
	if l != nil {
		l.Close()
		<-acceptEnded
	}
	s.mu.Lock()
	for c := range s.conns {
		c.endIdle()
	}
	s.mu.Unlock()
	for (s.openConns.Load()+s.refusedConns.Load() > 0 || s.inFlightCount.Load() > 0) && delay.For(ctx, stopPollInterval) {
	}
	s.cutOffAll()
}

// InFlightCount returns the number of callers' requests that this node serves.
func (s *Server) InFlightCount() int { return int(s.inFlightCount.Load()) }
