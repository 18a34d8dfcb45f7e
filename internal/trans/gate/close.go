package gate

import (
	"strconv"
	"time"
)

// closeReason is why a caller's connection is closed. The empty reason means that it
// stays open.
type closeReason string

const (
	keepOpen closeReason = ""
	// closeIdle means that no request began within the idle timeout.
	closeIdle closeReason = "idle"
	// closeCaller means that the caller closed or reset the connection between two
	// requests, closeLeft that it did so while its request was served.
	closeCaller closeReason = "caller"
	closeLeft   closeReason = "left"
	// closeUnreadable means that a request was malformed, too long, too slow or incomplete.
	closeUnreadable closeReason = "unreadable"
	// closeAnnounced means that the caller was told with the last response.
	closeAnnounced closeReason = "announced"
	// closeCut means that a response ended early, closeWrite that it could not be written.
	closeCut   closeReason = "cut"
	closeWrite closeReason = "write-failed"
	// closeUnanswered means that a request has no response, and that no other reason is known.
	closeUnanswered closeReason = "unanswered"
	// closeEnd means that the process ends.
	closeEnd closeReason = "process-ends"
	// closeRefused means that there are maxConns connections, and the only request is
	// refused, closeTooMany that this would be too many refusals at a time.
	closeRefused closeReason = "refused"
	closeTooMany closeReason = "too-many"
)

// isExpected reports whether callers lose nothing by a close for this reason.
func (r closeReason) isExpected() bool {
	return r == closeIdle || r == closeCaller || r == closeLeft || r == closeAnnounced
}

// recordUnanswered counts and logs a request that was read whole and gets no response. Only a
// caller who has left may be the reason. The lines have a limit of their own, so that no
// others hide them.
func (x *exchange) recordUnanswered(now time.Time) {
	s := x.server
	s.getMetrics().unanswered.WithLabelValues(string(x.closing)).Inc()
	if x.closing == closeLeft {
		return
	}
	ok, omitted := s.unansweredLog.allow(false, now)
	if !ok {
		return
	}
	e := s.Logger.Warn().Str("request", x.reqHeader.ID).Str("why", string(x.closing)).Dur("after", now.Sub(x.arrived)).Int("sends", x.sends).
		Bool("draining", s.Draining()).Int("leftOut", omitted)
	if x.catalog != nil {
		e = e.Uint64("version", uint64(x.catalog.Version))
	}
	e.Msg("gate: request has no response")
}

// recordClose counts a connection that is closed by its reason, and logs it if a caller may
// have lost a request by it: if that is not expected, or if bytes of another request had
// been read.
func (s *Server) recordClose(c *callerConn, r closeReason) {
	unread := c.reader.Buffered()
	s.getMetrics().closes.WithLabelValues(string(r), strconv.FormatBool(unread > 0)).Inc()
	if r.isExpected() && unread == 0 {
		return
	}
	s.requestLog(false).Str("why", string(r)).Int("unread", unread).Int64("served", c.served).Str("caller", c.RemoteAddr().String()).
		Bool("draining", s.Draining()).Msg("gate: closed a caller's connection")
}
