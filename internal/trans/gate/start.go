package gate

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/clock"
)

const (
	// settleTime is how long after its start a node counts as knowing little of the requests
	// of the others. Nodes that start together connect to each other within about half of it.
	settleTime = time.Second
	// startWait is how long after the start of a node requests wait for its first state, that
	// is, its configuration, endpoints and evacuations. A node usually has them sooner, and a
	// caller who is refused would come back to it later than that.
	startWait = 600 * time.Millisecond
	// startSpread is the longest time between the starts of nodes that count as started together.
	startSpread = startWait + settleTime
	// statePollInterval is the pause between two checks whether the state has arrived.
	statePollInterval = 5 * time.Millisecond
)

// isSettling reports whether the node has just started.
func (s *Server) isSettling(now time.Time) bool { return now.Sub(s.startedAt) < settleTime }

// isolation is whether the node heard of less than half of the other nodes at a time.
type isolation struct {
	at       time.Time
	isCutOff bool
}

// isLoadUnknown reports whether the node knows little of the requests of other nodes: it has just
// started, or it hears of less than half of the others.
func (s *Server) isLoadUnknown(now time.Time) bool {
	if s.isSettling(now) {
		return true
	}
	i := s.isolation.Load()
	if i == nil || now.Sub(i.at) > nodesAge {
		i = &isolation{now, s.Nodes(now).IsCutOff()}
		s.isolation.Store(i)
	}
	return i.isCutOff
}

// hasState reports whether the node knows a configuration that was confirmed, or isn't confirmed
// for a while since the store has lost records, the endpoints and which data centres are evacuated.
func (s *Server) hasState() bool {
	if s.Feeds.Catalog() == nil || s.Feeds.Endpoints() == nil || !s.Feeds.EvacuationsKnown() {
		return false
	}
	return s.Feeds.CatalogConfirmedAt() > 0 || s.Feeds.ConfirmWait(clock.Now()) > 0
}

// awaitState waits until the node has its first state, at most until startWait after its
// start. It returns at once later on.
func (s *Server) awaitState() {
	for !s.hasState() && time.Since(s.startedAt) < startWait {
		time.Sleep(statePollInterval)
	}
}
