package gate

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// Drain starts the graceful shutdown: from now on, responses close the
// caller's connection, and requests that may not finish in time are rejected.
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
)

// InFlightCount returns the number of callers' requests that this node serves.
func (s *Server) InFlightCount() int { return int(s.inFlightCount.Load()) }
