package front

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	// arrivedTimeout bounds the read of bytes that have arrived.
	arrivedTimeout = time.Second
	// endPollInterval is the pause between two looks for open connections.
	endPollInterval = 5 * time.Millisecond
)

// callerConns holds the listener for callers and their open connections, so that the idle
// ones can be closed without the loss of a request that has arrived. The zero value is
// ready to use. It is safe for concurrent use.
type callerConns struct {
	mu       sync.Mutex
	listener *callerListener
	open     map[*callerConn]struct{}
	// ending is set once idle connections are closed.
	ending bool
}

func (o *callerConns) add(l *conns.LingeringConn) *callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &callerConn{LingeringConn: l, owner: o, isIdle: true, ending: o.ending}
	if o.open == nil {
		o.open = map[*callerConn]struct{}{}
	}
	o.open[c] = struct{}{}
	return c
}

func (o *callerConns) remove(c *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, c)
}

// listen returns a listener that adds the connections that it accepts.
func (o *callerConns) listen(l net.Listener) *callerListener {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listener = &callerListener{LingeringListener: conns.LingeringListener{Listener: l}, owner: o}
	return o.listener
}

// end closes the listener, ends the wait for a request on all connections, and waits until
// none is open or the context ends. The server must announce the close of the others.
func (o *callerConns) end(ctx context.Context) {
	o.mu.Lock()
	o.ending = true
	if o.listener != nil {
		o.listener.Close()
	}
	for c := range o.open {
		c.end()
	}
	o.mu.Unlock()
	for o.len() > 0 && delay.For(ctx, endPollInterval) {
	}
}

func (o *callerConns) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// callerConn is one connection of a caller.
type callerConn struct {
	*conns.LingeringConn
	owner *callerConns

	// mu guards what follows, and the read deadline.
	mu sync.Mutex
	// isIdle is set while the first byte of a request is awaited.
	isIdle bool
	// ending is set once the connection is to be closed when it is idle.
	ending bool
}

// trackState is the ConnState function of the server.
func trackState(nc net.Conn, s fasthttp.ConnState) {
	if c, ok := nc.(*callerConn); ok {
		c.setIdle(s == fasthttp.StateIdle || s == fasthttp.StateNew)
	}
}

func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = idle
}

// beginRequest ends the wait for a request, of which bytes have arrived. The deadline of writes is
// still that of the response before, which may be over.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle {
		c.SetWriteDeadline(time.Now().Add(readTimeout))
	}
	c.isIdle = false
}

// end ends the wait for a request, now or the next time that one is awaited.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.isIdle {
		c.LingeringConn.SetReadDeadline(conns.Expired)
	}
}

// SetReadDeadline sets the deadline of reads. No request is awaited any more after end.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle && c.ending {
		t = conns.Expired
	}
	return c.LingeringConn.SetReadDeadline(t)
}

// Read reads from the connection. If the wait for a request is over, bytes that have
// arrived are read all the same.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.LingeringConn.Read(b)
		if n > 0 {
			c.beginRequest()
			return n, err
		}
		if !conns.IsTimeout(err) || !c.hasArrived() {
			return n, err
		}
	}
}

// hasArrived reports whether bytes of an awaited request have arrived, and makes them
// readable.
func (c *callerConn) hasArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle || conns.IsIdle(c) {
		return false
	}
	return c.LingeringConn.SetReadDeadline(time.Now().Add(arrivedTimeout)) == nil
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.owner.remove(c)
	return c.LingeringConn.Close()
}

// callerListener accepts the connections of callers.
type callerListener struct {
	conns.LingeringListener
	owner *callerConns
	once  sync.Once
}

// Accept waits for and returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.LingeringListener.Accept()
	if t, ok := c.(*conns.LingeringConn); ok && err == nil {
		return l.owner.add(t), nil
	}
	return c, err
}

// Close closes the listener. Only the first call may fail.
func (l *callerListener) Close() (err error) {
	l.once.Do(func() { err = l.LingeringListener.Close() })
	return err
}
