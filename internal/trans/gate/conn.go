package gate

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

// bodyTimeout bounds the time from a request's arrival to the end of its body.
const bodyTimeout = 15 * time.Second

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := newCallerConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
		s.openConns.Add(-1)
	}()
	reason := keepOpen
	for reason == keepOpen && ctx.Err() == nil {
		reason = s.serveOne(c)
	}
	if ctx.Err() != nil {
		reason = closeEnd
	}
	s.recordClose(c, reason)
	if reason == closeAnnounced && !conns.IsIdle(nc) {
		linger(nc)
	}
}

// linger makes the close of a connection wait for what the caller still sends, within
// bounds: a close with bytes unread resets the connection, and the caller could lose the
// last response.
func linger(nc net.Conn) {
	if l, ok := nc.(*conns.LingeringConn); ok {
		l.Linger()
	}
}

// serveOne serves one request. It returns why the connection is closed after it, or
// keepOpen if the connection can carry another request.
func (s *Server) serveOne(c *callerConn) closeReason {
	if reason := c.awaitRequest(); reason != keepOpen {
		return reason
	}
	s.inFlightCount.Add(1)
	defer s.inFlightCount.Add(-1)
	c.waitUpTo((*Server).headerTimeout)
	arrived := c.waitingSince
	req, err := http1.ReadRequest(c.reader, s.limits().MaxHeaderBytes)
	if err != nil {
		s.rejectUnreadable(c, err)
		return closeUnreadable
	}
	c.served++
	x := &exchange{server: s, caller: c, request: req, arrived: arrived}
	if req.ExpectContinue && req.Framing != http1.None {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.waitUntil(arrived.Add(bodyTimeout))
	var held int64
	x.body, held, err = s.readRequestBody(c, req)
	defer s.requestBytes.Release(held)
	if err != nil {
		s.rejectUnreadable(c, err)
		return closeUnreadable
	}
	c.waitUntil(time.Time{})
	c.reply.Store(replyAwaited)
	x.run()
	if c.reply.Swap(noRequest) == replyAwaited {
		x.closing = cmp.Or(x.closing, closeUnanswered)
		x.recordUnanswered(time.Now())
	}
	switch {
	case x.closing != keepOpen:
		return x.closing
	case x.announcedClose:
		return closeAnnounced
	}
	return keepOpen
}

// errBodiesFull means that the node holds too many bytes of requests.
const errBodiesFull = errors.ConstError("node holds too many bytes of requests")

// readRequestBody reads the body of a request. It returns the bytes to release from
// Server.requestBytes, also with an error. Small bodies are always read. The length of a chunked
// body isn't known, so that the largest one is reserved until it has been read.
func (s *Server) readRequestBody(c *callerConn, req *http1.Request) (body []byte, held int64, err error) {
	limit := s.limits().MaxBodyBytes
	switch req.Framing {
	case http1.Chunked:
		held = int64(limit)
	case http1.Sized:
		held = min(req.Length, int64(limit))
	}
	if held <= memory.FreeBytes {
		held = 0
	}
	if held > 0 && s.MaxRequestBytes > 0 && !s.requestBytes.Reserve(held, s.MaxRequestBytes) {
		return nil, 0, errBodiesFull
	}
	if s.MaxRequestBytes == 0 {
		held = 0
	}
	body, err = http1.ReadBody(c.reader, req.Framing, req.Length, limit)
	if rest := held - int64(len(body)); err == nil && rest > 0 {
		s.requestBytes.Release(rest)
		held -= rest
	}
	return body, held, err
}

// rejectUnreadable responds to a request that is malformed, too long or too slow, or for
// which there is no memory. After other errors, such as the end of the connection within the
// body, it does nothing. After a response, the close lingers.
func (s *Server) rejectUnreadable(c *callerConn, err error) {
	status, retryAfter := 0, time.Duration(0)
	switch {
	case errors.Is(err, errBodiesFull):
		status, retryAfter = 503, retrySoon
	case errors.Is(err, http1.ErrHeaderTooLong):
		status = 431
	case errors.Is(err, http1.ErrBodyTooLong):
		status = 413
	case conns.IsTimeout(err):
		status = 408
	case errors.Is(err, http1.ErrMalformed):
		status = 400
	}
	if status == 0 {
		return
	}
	s.getMetrics().requests.WithLabelValues("unknown", strconv.Itoa(status)).Inc()
	s.requestLog(false).Err(err).Int("status", status).Msg("gate: rejected an unreadable request")
	c.write(emptyResponse(status, retryAfter, true))
	linger(c.Conn)
}
