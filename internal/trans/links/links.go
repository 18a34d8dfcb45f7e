// Package links pools the connections to endpoints over which requests are
// forwarded. It never retries a request.
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
	// defaultIdleTimeout is how long a connection may stay unused if the
	// endpoint doesn't announce its own timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from the timeout that an endpoint announces.
	idleMargin = 700 * time.Millisecond
	// maxIdleLinks is the maximum number of idle links to one address.
	maxIdleLinks = 32
	// maxIdleTimeout bounds the timeout that an endpoint announces.
	maxIdleTimeout  = time.Hour
	readBufferBytes = 4 << 10
	// TCP keep-alive probes detect that an endpoint can no longer be reached
	// while nothing is sent or received.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Link is one connection to an endpoint. It carries one request at a time.
type Link struct {
	net.Conn
	Reader *bufio.Reader
	// IdleTimeout is how long the link may stay unused before it is closed, so
	// that it is not used when the endpoint may be closing it.
	IdleTimeout time.Duration

	lastUsed time.Time
	reused   bool
	patient  *conns.PatientReader
}

// patientConn is a connection that parses what it receives. It has a PatientReader below its
// parser.
type patientConn interface {
	PatientReader() *conns.PatientReader
}

// SetDeadlineHandler sets what decides about reads that have passed their deadline.
func (l *Link) SetDeadlineHandler(h conns.DeadlineHandler) { l.patient.Handler = h }

// Reused reports whether the link has carried a request before. What arrives on it may
// then be another response to an earlier request.
func (l *Link) Reused() bool { return l.reused }

// Pool holds the idle links to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc

	idle conns.IdleList[*Link]
}

// Take returns an idle link that is still open and has nothing to read, or nil
// if there is none.
func (p *Pool) Take(now time.Time) *Link {
	l, ok := p.idle.Take(func(l *Link) bool { return l.withinIdleTimeout(now) && conns.IsIdle(l.Conn) })
	if !ok {
		return nil
	}
	return l
}

// withinIdleTimeout reports whether the link has been unused for less than its
// idle timeout.
func (l *Link) withinIdleTimeout(now time.Time) bool { return now.Sub(l.lastUsed) < l.IdleTimeout }

// Dial opens a new link.
func (p *Pool) Dial(ctx context.Context, timeout time.Duration) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}

// NewLink returns a link over a connection.
func NewLink(c net.Conn) *Link {
	l := &Link{Conn: c, IdleTimeout: defaultIdleTimeout}
	if p, ok := c.(patientConn); ok {
		l.patient = p.PatientReader()
		l.Reader = bufio.NewReaderSize(c, readBufferBytes)
		return l
	}
	l.patient = &conns.PatientReader{Conn: c}
	l.Reader = bufio.NewReaderSize(l.patient, readBufferBytes)
	return l
}

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial is the DialFunc that pools use by default.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Control: conns.TCPUserTimeout(probeIdle + probeCount*probeInterval),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Put returns a link to the pool after its last response has been read to the
// end. It closes a link that can't be reused or that exceeds maxIdleLinks.
func (p *Pool) Put(l *Link, now time.Time) {
	l.lastUsed, l.reused = now, true
	l.SetDeadlineHandler(nil)
	if !conns.Reusable(l.Conn, l.Reader) {
		l.Close()
		return
	}
	p.idle.Put(l, maxIdleLinks)
}

// CloseIdle closes all idle links.
func (p *Pool) CloseIdle() { p.idle.CloseAll() }

// expire closes the links that have been idle for too long.
func (p *Pool) expire(now time.Time) {
	p.idle.Prune(func(l *Link) bool { return l.withinIdleTimeout(now) })
}

// Pools holds one pool for each address. It is safe for concurrent use.
type Pools struct {
	mu        sync.Mutex
	byAddress map[string]*Pool
}

// Get returns the pool of an address. A new one opens connections with dial; if that is
// nil, with Dial.
func (ps *Pools) Get(addr string, dial DialFunc) *Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.byAddress == nil {
		ps.byAddress = map[string]*Pool{}
	}
	p, ok := ps.byAddress[addr]
	if !ok {
		if dial == nil {
			dial = Dial
		}
		p = &Pool{address: addr, dial: dial}
		ps.byAddress[addr] = p
	}
	return p
}

// Expire closes the links that have been idle for too long, and drops the
// pools of addresses for which inUse returns false.
func (ps *Pools) Expire(now time.Time, inUse func(addr string) bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for addr, p := range ps.byAddress {
		p.expire(now)
		if !inUse(addr) {
			p.CloseIdle()
			delete(ps.byAddress, addr)
		}
	}
}

// SetAnnouncedTimeout sets the idle timeout from the number of seconds for which
// the endpoint announced that it keeps an idle link open.
func (l *Link) SetAnnouncedTimeout(seconds int) {
	seconds = max(0, min(seconds, int(maxIdleTimeout/time.Second)))
	l.IdleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
}
