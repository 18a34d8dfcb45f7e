package gate

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	readBufferBytes = 4 << 10
	// bodyTimeout bounds the time from a request's arrival to the end of its body.
	bodyTimeout = 15 * time.Second
	// idleSlack is added to the idle timeout: callers may know a longer one before this
	// node does.
	idleSlack = time.Second
	// arrivedTimeout bounds the read of bytes that have arrived.
	arrivedTimeout = time.Second
)

// defaultLimits apply until a configuration has been received.
var defaultLimits = topol.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	// waitingSince is when the wait for the next bytes began, waitLimit how long it may
	// last by a configuration; nil if no configuration bounds it.
	waitingSince time.Time
	waitLimit    func(topol.Limits) time.Duration
	// served is the number of requests that were read on the connection.
	served int64
}

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := &callerConn{Conn: nc, server: s}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
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

// limits returns the bounds on the requests and connections of callers.
func (s *Server) limits() topol.Limits {
	c := s.Feeds.Catalog()
	if c == nil {
		return defaultLimits
	}
	return c.Limits
}

func idleLimit(l topol.Limits) time.Duration { return l.IdleTimeout + idleSlack }

func headerLimit(l topol.Limits) time.Duration { return l.HeaderTimeout }

// waitUpTo bounds the reads from now on by a limit of the configuration in force.
func (c *callerConn) waitUpTo(limit func(topol.Limits) time.Duration) {
	c.waitingSince, c.waitLimit = time.Now(), limit
	c.SetReadDeadline(c.waitEnd())
}

// waitUntil bounds the reads from now on by a time, whatever the configuration. The zero
// time is no bound.
func (c *callerConn) waitUntil(t time.Time) {
	c.waitLimit = nil
	c.SetReadDeadline(t)
}

func (c *callerConn) waitEnd() time.Time {
	return c.waitingSince.Add(c.waitLimit(c.server.limits()))
}

// Read reads from the connection. If the read deadline passes, the wait goes on if the
// configuration that is in force then allows a longer one.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !isTimeout(err) || c.waitLimit == nil {
			return n, err
		}
		end := c.waitEnd()
		if !end.After(time.Now()) {
			return n, err
		}
		c.SetReadDeadline(end)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// awaitRequest waits for the first byte of the next request. If the connection is to be
// closed instead, it returns why.
func (s *Server) awaitRequest(c *callerConn) closeReason {
	c.waitUpTo(idleLimit)
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return keepOpen
		case !isTimeout(err):
			return closeCaller
		case conns.IsIdle(c.Conn):
			return closeIdle
		}
		// Bytes or the end of the connection arrived when the deadline passed.
		c.waitUntil(time.Now().Add(arrivedTimeout))
	}
}

// serveOne serves one request. It returns why the connection is closed after it, or
// keepOpen if the connection can carry another request.
func (s *Server) serveOne(c *callerConn) closeReason {
	if reason := s.awaitRequest(c); reason != keepOpen {
		return reason
	}
	c.waitUpTo(headerLimit)
	arrived := c.waitingSince
	req, err := http1.ReadRequest(c.reader, s.limits().MaxHeaderBytes)
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
	c.waitUntil(arrived.Add(bodyTimeout))
	x.body, err = http1.ReadBody(c.reader, req.Framing, req.Length, s.limits().MaxBodyBytes)
	if err != nil {
		s.rejectUnreadable(c, err)
		return closeUnreadable
	}
	c.waitUntil(time.Time{})
	x.run()
	switch {
	case x.closing != keepOpen:
		return x.closing
	case x.announcedClose:
		return closeAnnounced
	}
	return keepOpen
}

// rejectUnreadable responds to a request that is malformed, too long or too
// slow. After other errors, such as the end of the connection within the body, it
// does nothing. After a response, the connection lingers when it is closed:
// closing it with bytes unread would reset it, and the caller could lose the
// response.
func (s *Server) rejectUnreadable(c *callerConn, err error) {
	status := 0
	switch {
	case errors.Is(err, http1.ErrHeaderTooLong):
		status = 431
	case errors.Is(err, http1.ErrBodyTooLong):
		status = 413
	case isTimeout(err):
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
