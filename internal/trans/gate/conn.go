package gate

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// Limits that apply until a configuration has been received; sizes are in
	// bytes.
	defaultHeaderLimit   = 16 << 10
	defaultBodyLimit     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	readBufferBytes      = 4 << 10
)

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	// served is the number of requests that were read on the connection.
	served int64
}

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := &callerConn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.openConns.Add(-1)
		c.Close()
	}()
	reason := keepOpen
	for reason == keepOpen && ctx.Err() == nil {
		reason = s.serveOne(c)
	}
	if ctx.Err() != nil {
		reason = closeEnd
	}
	s.recordClose(c, reason)
}

// limits returns the bounds on the requests and connections of callers. header
// and body are in bytes.
func (s *Server) limits() (header, body int, headerTimeout, idleTimeout time.Duration) {
	c := s.Feeds.Catalog()
	if c == nil {
		return defaultHeaderLimit, defaultBodyLimit, defaultHeaderTimeout, defaultIdleTimeout
	}
	l := c.Limits
	return l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeout, l.IdleTimeout
}

// serveOne serves one request. It returns why the connection is closed after it, or
// keepOpen if the connection can carry another request.
func (s *Server) serveOne(c *callerConn) closeReason {
	headerLimit, bodyLimit, headerTimeout, idleTimeout := s.limits()
	c.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return readFailure(err)
	}
	arrived := time.Now()
	c.SetReadDeadline(arrived.Add(headerTimeout))
	req, err := http1.ReadRequest(c.reader, headerLimit)
	if err != nil {
		s.rejectUnreadable(c, err)
		return closeUnreadable
	}
	c.served++
	s.inFlightCount.Add(1)
	defer s.inFlightCount.Add(-1)
	x := &exchange{server: s, caller: c, request: req, arrived: arrived}
	if req.ExpectContinue && req.Framing != http1.None {
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.SetReadDeadline(arrived.Add(bodyTimeout))
	x.body, err = http1.ReadBody(c.reader, req.Framing, req.Length, bodyLimit)
	if err != nil {
		s.rejectUnreadable(c, err)
		return closeUnreadable
	}
	c.SetReadDeadline(time.Time{})
	x.run()
	switch {
	case x.closing != keepOpen:
		return x.closing
	case x.announcedClose:
		return closeAnnounced
	}
	return keepOpen
}

// bodyTimeout bounds the time from a request's arrival to the end of its body.
const bodyTimeout = 15 * time.Second

// rejectUnreadable responds to a request that is malformed, too long or too
// slow. After other errors, such as the end of the connection within the body, it
// does nothing. After a response, the connection lingers when it is closed:
// closing it with bytes unread would reset it, and the caller could lose the
// response.
func (s *Server) rejectUnreadable(c *callerConn, err error) {
	status := 0
	var ne net.Error
	switch {
	case errors.Is(err, http1.ErrHeaderTooLong):
		status = 431
	case errors.Is(err, http1.ErrBodyTooLong):
		status = 413
	case errors.As(err, &ne) && ne.Timeout():
		status = 408
	case errors.Is(err, http1.ErrMalformed):
		status = 400
	}
	if status == 0 {
		return
	}
	s.getMetrics().requests.WithLabelValues("unknown", strconv.Itoa(status)).Inc()
	s.requestLog(false).Err(err).Int("status", status).Msg("gate: rejected an unreadable request")
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.Write(emptyResponse(status, 0, true))
	if l, ok := c.Conn.(*conns.LingeringConn); ok {
		l.Linger()
	}
}
