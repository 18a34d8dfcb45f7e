package gate

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

// isFlood reports whether a read from an endpoint ended since it sent more than an answer
// may have. An answer whose announced length is too large isn't read, and isn't one.
func (a *attempt) isFlood(err error) bool {
	switch {
	case errors.Is(err, memory.ErrExceeded), errors.Is(err, errLongEvent), errors.Is(err, http1.ErrHeaderTooLong), errors.Is(err, http1.ErrEndless):
		return true
	case errors.Is(err, http1.ErrBodyTooLong):
		return a.answer.head == nil || a.answer.head.Framing != http1.Sized
	}
	return false
}

// readError returns the reason for which a read from the endpoint failed. Reads of an answer
// that was given up pass their deadline.
func (a *attempt) readError(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isGivenUp {
		return memory.ErrExceeded
	}
	return err
}

// recordFlood records that an endpoint sent more than an answer may have. It is avoided for a
// time, also by the peers.
func (s *Server) recordFlood(e *topol.Endpoint, now time.Time) {
	s.getMetrics().floods.Inc()
	s.pool(e.Address).CloseIdle()
	if s.endpointHealth.recordFlood(e.Name, now) {
		s.Logger.Warn().Str("endpoint", string(e.Name)).Dur("for", floodAvoidTime).Msg("gate: endpoint sends without end, it is avoided")
		s.AnnounceFailure(e.Name)
	}
}
