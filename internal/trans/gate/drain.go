package gate

import (
	"context"
	"time"

	"github.com/juju/errors"

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

// Draining reports whether the graceful shutdown has begun.
func (s *Server) Draining() bool { return s.drainStart.IsSet() }

func (s *Server) drainFrom(t time.Time) { s.drainStart.Store(t) }

const (
	// streamAcceptPeriod is how long after the stop signal new streams are sent. A stream
	// rarely takes as long as its route allows, so that time does not decide.
	streamAcceptPeriod = 2500 * time.Millisecond
	// answerMargin is the time before the end of the grace period by which a request must be
	// answered to be sent during a drain.
	answerMargin = 700 * time.Millisecond
	// decodeSlowdown is the factor from the time of the decode steps of an answer alone at an
	// idle engine to the time by which most such answers have ended.
	decodeSlowdown = 3
	// stopPollInterval is the pause between two looks for open connections.
	stopPollInterval = 5 * time.Millisecond
)

// errStopping means that the node may stop before the request finishes.
const errStopping = errors.ConstError("node may stop before the request finishes")

// mayOutliveNode reports whether the request may take longer than the node lives, so that it
// must not be sent: by the time that its route and its caller allow or, if it is a stream, by
// the time since the drain began, the time until its first event and the expected length of its
// answer. A stream that the caller has begun to receive goes on.
func (x *exchange) mayOutliveNode(now time.Time, toFirst time.Duration) bool {
	s := x.server
	if !s.Draining() || x.headerSent {
		return false
	}
	began := s.drainStart.Load()
	end := began.Add(s.GracePeriod - answerMargin)
	if x.route.Kind != topol.Stream {
		return x.deadline.After(end)
	}
	return now.Sub(began) > streamAcceptPeriod || now.Add(toFirst+x.decodeTime()).After(end)
}

// decodeTime returns the time by which the answer to a prompt has probably ended, counted from
// its first event; zero if nothing is known of its length or of the engines.
func (x *exchange) decodeTime() time.Duration {
	if x.service == nil || x.service.Engine == nil {
		return 0
	}
	perToken := x.service.Engine.StepTime.Seconds()
	expected := float64(x.expectedOutput()) * perToken * decodeSlowdown
	return time.Duration(min(expected, topol.MaxTime.Seconds()) * float64(time.Second))
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
