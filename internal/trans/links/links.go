// Package links keeps the connections to endpoints that requests are forwarded
// on. It never repeats a request by itself.
package links

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	// defaultIdle bounds how long a connection stays unused where the endpoint
	// doesn't tell its own limit.
	defaultIdle = 2 * time.Second
	// idleMargin is kept from the limit that an endpoint tells.
	idleMargin = 700 * time.Millisecond
	maxIdle    = 32
	readBuffer = 4 << 10
	// Probes find a peer that vanished while a connection is silent.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Link is one connection to an endpoint. It carries one request at a time.
type Link struct {
	net.Conn
	Reader *bufio.Reader
	// Reused tells that the link carried a request before.
	Reused bool
	// Idle is how long the endpoint keeps an unused connection open.
	Idle time.Duration

	used time.Time
}

// Pool keeps the idle links to one address. It is safe for concurrent use.
type Pool struct {
	address string

	idle conns.IdleList[*Link]
}

// Take returns an idle link that is still open and silent, or nil.
func (p *Pool) Take(now time.Time) *Link {
	l, ok := p.idle.Take(func(l *Link) bool { return l.fresh(now) && conns.IsIdle(l.Conn) })
	if !ok {
		return nil
	}
	l.Reused = true
	return l
}

// fresh reports whether the endpoint still keeps an unused link open.
func (l *Link) fresh(now time.Time) bool { return now.Sub(l.used) < l.Idle }

// Dial opens a new link.
func (p *Pool) Dial(ctx context.Context, timeout time.Duration) (*Link, error) {
	d := net.Dialer{
		Timeout: timeout,
		Control: conns.SetTCPUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &Link{Conn: c, Reader: bufio.NewReaderSize(c, readBuffer), Idle: defaultIdle}, nil
}

// Put keeps a link whose last answer was read to its end.
func (p *Pool) Put(l *Link, now time.Time) {
	l.used = now
	if !conns.Reusable(l.Conn, l.Reader) {
		l.Close()
		return
	}
	p.idle.Put(l, maxIdle)
}

// Drop closes all idle links.
func (p *Pool) Drop() { p.idle.CloseAll() }

// expire closes links that have been idle too long.
func (p *Pool) expire(now time.Time) {
	p.idle.Prune(func(l *Link) bool { return l.fresh(now) })
}

// Pools holds one pool for each address. It is safe for concurrent use.
type Pools struct {
	mu sync.Mutex
	m  map[string]*Pool
}

// Get returns the pool of an address.
func (ps *Pools) Get(addr string) *Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.m == nil {
		ps.m = map[string]*Pool{}
	}
	p, ok := ps.m[addr]
	if !ok {
		p = &Pool{address: addr}
		ps.m[addr] = p
	}
	return p
}

// Expire closes the links that have been idle too long, and forgets the pools
// of addresses that keep reports as unused.
func (ps *Pools) Expire(now time.Time, keep func(addr string) bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for a, p := range ps.m {
		p.expire(now)
		if !keep(a) {
			p.Drop()
			delete(ps.m, a)
		}
	}
}

// KeepAlive sets how long the endpoint keeps the link open, in the seconds that
// its answer tells.
func (l *Link) KeepAlive(seconds int) {
	l.Idle = max(0, time.Duration(seconds)*time.Second-idleMargin)
}
