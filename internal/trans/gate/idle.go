package gate

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	readBufferBytes = 4 << 10
	// idleSlack is added to the idle timeout: callers may know a longer one before this
	// node does.
	idleSlack = staleAfter
	// arrivedTimeout bounds the read of bytes that have arrived.
	arrivedTimeout = time.Second
	// reuseNumerator / reuseDenominator is the fraction of the idle timeout for
	// which callers may reuse an idle connection.
	reuseNumerator, reuseDenominator = 4, 5
)

// defaultLimits apply until a configuration has been received.
var defaultLimits = topol.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// limits returns the bounds on the requests and connections of callers.
func (s *Server) limits() topol.Limits {
	c := s.Feeds.Catalog()
	if c == nil {
		return defaultLimits
	}
	return c.Limits
}

func (s *Server) headerTimeout() time.Duration { return s.limits().HeaderTimeout }

// idleTimeout returns how long connections without a request stay open.
func (s *Server) idleTimeout() time.Duration {
	if s.stopping.Load() {
		return 0
	}
	return s.limits().IdleTimeout + idleSlack
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	// served is the number of requests that were read on the connection.
	served int64
	// reply is a replyState.
	reply atomic.Int32

	// mu guards what follows, and the read deadline while a request is awaited.
	mu sync.Mutex
	// isIdle is set while a request is awaited.
	isIdle bool
	// waitingSince is when the wait for the next bytes began, waitLimit how long it may
	// last as things stand; nil if it may last until a fixed time.
	waitingSince time.Time
	waitLimit    func(*Server) time.Duration
}

func newCallerConn(s *Server, nc net.Conn) *callerConn {
	c := &callerConn{Conn: nc, server: s}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// awaitRequest waits for the first byte of the next request. If the connection is to be
// closed instead, it returns why.
func (c *callerConn) awaitRequest() closeReason {
	c.setIdle(true)
	defer c.setIdle(false)
	c.waitUpTo((*Server).idleTimeout)
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return keepOpen
		case !conns.IsTimeout(err):
			return closeCaller
		case conns.IsIdle(c.Conn):
			return closeIdle
		}
		// Bytes or the end of the connection arrived when the deadline passed.
		c.waitUntil(time.Now().Add(arrivedTimeout))
	}
}

func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = idle
}

// waitUpTo bounds the reads from now on by a limit, which may change meanwhile.
func (c *callerConn) waitUpTo(limit func(*Server) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince, c.waitLimit = time.Now(), limit
	c.SetReadDeadline(c.waitEnd())
}

// waitUntil bounds the reads from now on by a fixed time. The zero time is no bound.
func (c *callerConn) waitUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitLimit = nil
	c.SetReadDeadline(t)
}

// waitEnd returns when the wait ends as things stand. The caller must hold c.mu.
func (c *callerConn) waitEnd() time.Time { return c.waitingSince.Add(c.waitLimit(c.server)) }

// Read reads from the connection. If the read deadline passes, the wait goes on if its
// limit has become longer.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !conns.IsTimeout(err) || !c.extendWait() {
			return n, err
		}
	}
}

// extendWait sets the read deadline anew. It returns false if the wait is over.
func (c *callerConn) extendWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitLimit == nil || !c.waitEnd().After(time.Now()) {
		return false
	}
	c.SetReadDeadline(c.waitEnd())
	return true
}

// endIdle ends the wait for a request, if one is awaited.
func (c *callerConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle {
		c.SetReadDeadline(conns.Expired)
	}
}

// mayBeUsed reports whether a request is under way on the connection, or its caller may
// still send one.
func (c *callerConn) mayBeUsed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reuse := c.server.limits().IdleTimeout * reuseNumerator / reuseDenominator
	return !c.isIdle || now.Sub(c.waitingSince) < reuse
}
