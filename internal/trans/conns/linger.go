package conns

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read of a message that was
	// refused before its end.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 4 << 20
)

// LingeringConn is a connection whose Close can first read what the other end still
// sends. Closing with bytes unread resets a connection, and the other end may
// then lose the answer that was written to it.
type LingeringConn struct {
	*net.TCPConn
	linger atomic.Bool
}

// Linger makes Close read on for a while.
func (l *LingeringConn) Linger() { l.linger.Store(true) }

// Close ends the connection.
func (l *LingeringConn) Close() error {
	if l.linger.Swap(false) && l.CloseWrite() == nil {
		l.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(l.TCPConn, lingerBytes))
	}
	return l.TCPConn.Close()
}

// LingerListener accepts connections that can linger.
type LingerListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l LingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &LingeringConn{TCPConn: t}, nil
	}
	return c, err
}
