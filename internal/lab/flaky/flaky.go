// Package flaky wraps a TCP listener to inject connection failures into a
// stand-in: open connections can be reset or made to drop all bytes, and new ones
// refused.
package flaky

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a TCP listener that tracks the connections it accepted.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	// crashed is set by Crash.
	crashed bool
}

// Listen opens a listener on a TCP address.
func Listen(addr string) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}, nil
}

// Accept waits for a connection and tracks it.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed {
		c.Close()
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Crash closes the listener and resets all tracked connections. Connections that
// were closed before are no longer tracked, so closed silent ones aren't reset.
func (l *Listener) Crash() {
	l.mu.Lock()
	l.crashed = true
	cs := l.detachConns()
	l.mu.Unlock()
	l.Listener.Close()
	for _, c := range cs {
		c.reset()
	}
}

// Silence makes the open connections drop all bytes in both directions. New
// connections work normally.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// detachConns returns the tracked connections and stops tracking them. l.mu must
// be held.
func (l *Listener) detachConns() []*conn {
	cs := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		cs = append(cs, c)
	}
	clear(l.conns)
	return cs
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	listener *Listener
	// silent is set by Listener.Silence.
	silent    atomic.Bool
	closeOnce sync.Once
	// closed is closed by Close and Crash.
	closed chan struct{}
}

// Read reads from the connection. Once the connection is silent, Read discards
// what it read, including an end of file or an error, and blocks until Close or
// Crash.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection, or discards the bytes if it is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. If it is silent, the socket stays open, so that
// the other end isn't notified and keeps waiting.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.removeConn(c)
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.closeOnce.Do(func() { close(c.closed) })
	c.Conn.Close()
}
