package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection can be reused.
	idleTimeout = 5 * time.Second
	// maxAge is the age up to which a connection is reused.
	maxAge = 2 * time.Minute
	// maxIdle is the largest number of idle connections of a pool.
	maxIdle           = 64
	readBufferBytes   = 8 << 10
	writeBufferBytes  = 16 << 10
	keepAliveInterval = 5 * time.Second
	// tcpUserTimeout is the timeout set by SetTCPUserTimeout.
	tcpUserTimeout = 10 * time.Second
	// tcpUserTimeoutOption is TCP_USER_TIMEOUT on Linux, which package syscall
	// doesn't define.
	tcpUserTimeoutOption = 0x12
	// maxErrorBodyBytes is the largest body that ReadError reads.
	maxErrorBodyBytes = 64 << 10
)

// Pool opens connections to one address and keeps the idle ones. It is safe for
// concurrent use.
type Pool struct {
	Address string
	// Dial opens connections; if it is nil, the pool does.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	idle IdleList[*conn]
}

type conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	openedAt time.Time
	lastUsed time.Time
	// reused is set if the connection carried a call before.
	reused bool
}

// get returns an idle connection that is still open, or a new one. If fresh is
// set, it always opens a new one.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(time.Now()); c != nil {
			return c, nil
		}
	}
	return p.dial(ctx)
}

func (p *Pool) takeIdle(now time.Time) *conn {
	c, ok := p.idle.Take(func(c *conn) bool {
		return now.Sub(c.lastUsed) < idleTimeout && now.Sub(c.openedAt) < maxAge && IsIdle(c.Conn)
	})
	if !ok {
		return nil
	}
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &conn{
		Conn:     nc,
		reader:   bufio.NewReaderSize(nc, readBufferBytes),
		writer:   bufio.NewWriterSize(nc, writeBufferBytes),
		openedAt: now,
		lastUsed: now,
	}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, Control: SetTCPUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// put adds a connection to the idle ones, or closes it if it can't be reused. The
// last response on it must have been read completely.
func (p *Pool) put(c *conn) {
	c.lastUsed, c.reused = time.Now(), true
	if !Reusable(c.Conn, c.reader) {
		c.Close()
		return
	}
	p.idle.Put(c, maxIdle)
}

// CloseIdle closes all idle connections. Callers use it after one connection
// failed, since the others may be dead too.
func (p *Pool) CloseIdle() { p.idle.CloseAll() }

// SetTCPUserTimeout sets the socket option TCP_USER_TIMEOUT, which bounds how long
// sent bytes may remain unacknowledged before the connection fails. It is a
// Control function for net.Dialer and net.ListenConfig.
func SetTCPUserTimeout(network, address string, rc syscall.RawConn) error {
	return TCPUserTimeout(tcpUserTimeout)(network, address, rc)
}

// TCPUserTimeout returns a function as SetTCPUserTimeout with another timeout. It also
// decides when keep-alive probes give up, whatever their count.
func TCPUserTimeout(d time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error {
		var err error
		cerr := rc.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(d.Milliseconds()))
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
}

// Pools holds one pool per address. It is safe for concurrent use.
type Pools struct {
	// Dial is that of the pools. It is set before use.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	pools sync.Map
}

// Get returns the pool of an address.
func (ps *Pools) Get(addr string) *Pool {
	if p, ok := ps.pools.Load(addr); ok {
		return p.(*Pool)
	}
	p, _ := ps.pools.LoadOrStore(addr, &Pool{Address: addr, Dial: ps.Dial})
	return p.(*Pool)
}
