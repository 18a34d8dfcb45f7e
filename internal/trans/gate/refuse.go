package gate

import (
	"bufio"
	"net"
	"time"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// maxRefusedConns bounds the number of connections beyond maxConns whose request is
	// read and refused. Further ones are closed at once.
	maxRefusedConns = 100
	// refuseTimeout bounds the time in which a connection beyond maxConns is refused.
	refuseTimeout = time.Second
)

// refuseConn refuses the first request of a connection beyond maxConns and closes the
// connection. It reads the request's header only; the response is the same whatever
// follows.
func (s *Server) refuseConn(c net.Conn) {
	defer c.Close()
	if s.refusedConns.Add(1) > maxRefusedConns {
		s.refusedConns.Add(-1)
		s.getMetrics().closes.WithLabelValues(string(closeTooMany), "false").Inc()
		s.requestLog(false).Str("why", string(closeTooMany)).Msg("gate: closed a caller's connection")
		return
	}
	defer s.refusedConns.Add(-1)
	s.getMetrics().closes.WithLabelValues(string(closeRefused), "false").Inc()
	c.SetDeadline(time.Now().Add(refuseTimeout))
	if _, err := http1.ReadHead(bufio.NewReader(c), s.limits().MaxHeaderBytes); err != nil {
		return
	}
	s.getMetrics().requests.WithLabelValues("unknown", "503").Inc()
	s.requestLog(false).Int("status", 503).Msg("gate: refused a request, too many connections")
	c.Write(emptyResponse(503, retrySoon, true))
	linger(c)
}
