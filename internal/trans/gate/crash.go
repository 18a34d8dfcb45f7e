package gate

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
)

const (
	// maxInvestigation is how long a node tries to find out whether an endpoint that has broken a
	// connection has crashed. The pause between two looks doubles from minLookPause to
	// maxLookPause.
	maxInvestigation = 8 * time.Second
	minLookPause     = 150 * time.Millisecond
	maxLookPause     = 1200 * time.Millisecond
	// restartListing is the time after which an endpoint that has started again is listed with
	// its new start.
	restartListing = 2500 * time.Millisecond
	// maxWitnesses is the number of other endpoints that are probed to find out whether the links
	// of this node work.
	maxWitnesses = 3
)

// breakCause is why an endpoint has broken a connection.
type breakCause int

const (
	// causeUnknown means that nothing has shown the cause in time.
	causeUnknown breakCause = iota
	// endpointAlive means that the endpoint goes on, reached by this node.
	endpointAlive
	// ownLinkLost means that only peers reach the endpoint.
	ownLinkLost
	// endpointUnresponsive means that the endpoint, or a proxy before it, accepts connections but
	// answers no probe, while another endpoint does.
	endpointUnresponsive
	// endpointCrashed means that the endpoint has ended and can't be reached.
	endpointCrashed
	// endpointRestarted means that the endpoint has ended and started again.
	endpointRestarted
)

func (c breakCause) String() string {
	return [...]string{"unknown", "alive", "link-lost", "unresponsive", "crashed", "restarted"}[c]
}

// isFinal reports whether a further look may not show another cause.
func (c breakCause) isFinal() bool { return c != causeUnknown && c != endpointUnresponsive }

// hasEnded reports whether the endpoint has ended.
func (c breakCause) hasEnded() bool { return c == endpointCrashed || c == endpointRestarted }

// finding is what a look at an endpoint shows: the cause, and how the endpoint was reached.
type finding struct {
	cause   breakCause
	reached reachability
}

// look returns what probes of an endpoint show. Calls for the same endpoint at one time share the
// result.
func (s *Server) look(ctx context.Context, e *topol.Endpoint) finding {
	f, _, _ := s.looks.Do(string(e.Name), func() (any, error) { return s.lookAfter(ctx, e, unreachable), nil })
	return f.(finding)
}

// investigate looks at an endpoint until the cause of a broken connection is known, for
// maxInvestigation at most; first is what the first look has shown. Calls for the same endpoint at
// one time share the result.
func (s *Server) investigate(ctx context.Context, e *topol.Endpoint, first finding) breakCause {
	c, _, _ := s.investigations.Do(string(e.Name), func() (any, error) {
		began, f, pause := time.Now(), first, minLookPause
		for !f.cause.isFinal() && time.Since(began) < maxInvestigation && delay.For(ctx, pause) {
			f = s.lookAfter(ctx, e, f.reached)
			if f.cause == endpointAlive || f.cause == ownLinkLost {
				// It was unreachable before: it may have started again.
				f.cause = s.awaitRestart(ctx, e, f.cause)
			}
			pause = min(2*pause, maxLookPause)
		}
		s.recordCause(e, f, time.Since(began))
		return f.cause, nil
	})
	return c.(breakCause)
}

// recordCause records the cause of a broken connection in the metrics and the log.
func (s *Server) recordCause(e *topol.Endpoint, f finding, after time.Duration) {
	s.getMetrics().breaks.WithLabelValues(f.cause.String()).Inc()
	s.requestLog(false).Str("endpoint", string(e.Name)).Stringer("cause", f.cause).Stringer("reached", f.reached).Dur("after", after).
		Msg("gate: looked for the cause of a broken connection")
}

// lookAfter returns what probes show at one time; before is how the last ones reached the endpoint.
// An endpoint that nobody reaches has crashed only if the links of this node work, which another
// endpoint shows by its answer. A node without peers asks only the endpoint itself.
func (s *Server) lookAfter(ctx context.Context, e *topol.Endpoint, before reachability) finding {
	r := s.diagnose(ctx, e)
	isGone := r == unreachable || r == breaksConnections && before == r && s.endpointHealth.isFailing(e.Name)
	switch {
	case s.hasRestarted(e):
		return finding{endpointRestarted, r}
	case r == reachedDirectly:
		return finding{endpointAlive, r}
	case r == reachedOverPeer:
		return finding{ownLinkLost, r}
	case r == notProbed || !s.isAlone() && !s.reachesOther(ctx, e):
		return finding{causeUnknown, r}
	case isGone:
		return finding{endpointCrashed, r}
	}
	return finding{endpointUnresponsive, r}
}

// awaitRestart returns endpointRestarted if an endpoint that is reached again is listed with another
// start soon, and otherwise the given cause.
func (s *Server) awaitRestart(ctx context.Context, e *topol.Endpoint, cause breakCause) breakCause {
	for end := time.Now().Add(restartListing); time.Now().Before(end) && delay.For(ctx, minLookPause); {
		if s.hasRestarted(e) {
			return endpointRestarted
		}
	}
	return cause
}

// hasRestarted reports whether an endpoint is listed with another start than the one to which
// requests were sent.
func (s *Server) hasRestarted(e *topol.Endpoint) bool {
	listed := s.Feeds.Endpoints().ByName[e.Name]
	return listed != nil && listed.Born != e.Born && e.Born != 0
}

// isAlone reports whether this node knows no others.
func (s *Server) isAlone() bool {
	now := time.Now()
	return len(s.Peers(now)) == 0 && s.Nodes(now).Known <= 1
}

// reachesOther reports whether an endpoint other than e answers a probe over a link of this node.
func (s *Server) reachesOther(ctx context.Context, e *topol.Endpoint) bool {
	probed := 0
	for _, o := range s.Feeds.Endpoints().ByName {
		if o.Address == e.Address || o.Leaving || s.isEvacuated(o) || s.endpointHealth.isSuspect(o.Name, time.Now()) || !s.mayProbe(o) {
			continue
		}
		if s.probeDirectly(withoutRequest(ctx), o) == probeAnswered {
			return true
		}
		if probed++; probed == maxWitnesses {
			break
		}
	}
	return false
}
