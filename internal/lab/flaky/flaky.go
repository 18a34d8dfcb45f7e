// Package flaky wraps a listener so that tests can cut, silence or refuse
// the connections of a stand-in.
package flaky

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener tracks the connections that it accepted.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
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
	t := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	l.conns[t] = struct{}{}
	return t, nil
}

// Crash closes the listener and cuts all connections.
func (l *Listener) Crash() {
	l.mu.Lock()
	l.closed = true
	cs := l.detachConns()
	l.mu.Unlock()
	l.Listener.Close()
	for _, c := range cs {
		c.reset()
	}
}

// Silence makes all open connections swallow what is written and deliver
// nothing; new ones work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

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

type conn struct {
	net.Conn
	listener  *Listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read blocks until the connection closes once it is silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops the bytes once the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent one is closed without a word to the
// other end, which keeps waiting.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.removeConn(c)
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.closeOnce.Do(func() { close(c.closed) })
	c.Conn.Close()
}
