package conns

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes limit the time and the number of bytes for which
	// Close reads the rest of a message that was rejected before its end.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 4 << 20
)

// LingeringConn is a connection whose Close can first read and discard what the
// other end still sends. Closing a connection with unread bytes resets it, and
// the other end may then lose the response that was written to it.
type LingeringConn struct {
	*net.TCPConn
	linger atomic.Bool
}

// Linger makes Close read and discard input, within lingerTime and lingerBytes,
// before it closes the connection.
func (l *LingeringConn) Linger() { l.linger.Store(true) }

// Close closes the connection, after lingering if Linger was called.
func (l *LingeringConn) Close() error {
	if l.linger.Swap(false) && l.CloseWrite() == nil {
		l.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(l.TCPConn, lingerBytes))
	}
	return l.TCPConn.Close()
}

// LingeringListener wraps each accepted TCP connection in a LingeringConn.
type LingeringListener struct {
	net.Listener
}

// Accept waits for and returns the next connection.
func (l LingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &LingeringConn{TCPConn: t}, nil
	}
	return c, err
}
