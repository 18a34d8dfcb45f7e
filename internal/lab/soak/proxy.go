package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does with connections.
type ProxyMode int

// Modes of a proxy.
const (
	// ModePass forwards all bytes.
	ModePass ProxyMode = iota
	// ModeRefuse resets open and new connections.
	ModeRefuse
	// ModeSilence accepts connections and reads bytes, but forwards nothing. A
	// connection that lost bytes forwards nothing in later modes either.
	ModeSilence
	// ModeDropResponses forwards bytes to the target, but drops those to the
	// client, as in ModeSilence.
	ModeDropResponses
	// ModeDelay forwards bytes forwardDelay after they were read.
	ModeDelay
)

// forwardDelay is the delay of forwarded bytes in ModeDelay.
const forwardDelay = 120 * time.Millisecond

const proxyBufferSize = 32 << 10

// Proxy forwards TCP connections and can disturb them. The exported fields are set
// before Run.
type Proxy struct {
	Listener net.Listener
	// Target returns the address to which connections are forwarded.
	Target func() string

	mu    sync.Mutex
	mode  ProxyMode
	pairs map[*connPair]struct{}
}

// connPair is a connection from a client and the one to the target.
type connPair struct {
	client, target net.Conn
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.Listener.Addr().String() }

// Run forwards connections until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { p.Listener.Close(); p.Reset() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := p.Listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { p.serve(c) })
	}
}

// SetMode changes the mode. ModeRefuse resets open connections; the other modes
// apply to them from their next read on.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == ModeRefuse {
		p.Reset()
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.client)
		reset(c.target)
	}
	clear(p.pairs)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serve forwards a connection until both directions have ended.
func (p *Proxy) serve(clientConn net.Conn) {
	if p.currentMode() == ModeRefuse {
		reset(clientConn)
		return
	}
	targetConn, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(clientConn)
		return
	}
	c := &connPair{clientConn, targetConn}
	p.mu.Lock()
	if p.pairs == nil {
		p.pairs = map[*connPair]struct{}{}
	}
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(targetConn, clientConn, true) })
	wg.Go(func() { p.copy(clientConn, targetConn, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. After it has dropped bytes, it
// drops all later ones too, as on a broken link.
func (p *Proxy) copy(to, from net.Conn, toTarget bool) {
	dropped := false
	b := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(b)
		m := p.currentMode()
		if m == ModeDelay {
			time.Sleep(forwardDelay)
		}
		dropped = dropped || m == ModeSilence || m == ModeDropResponses && !toTarget
		if n > 0 && !dropped {
			if _, werr := to.Write(b[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.propagateEnd(to, from, err, dropped)
			return
		}
	}
}

// propagateEnd forwards the end of one direction: io.EOF closes the other
// connection for writing, any other error resets both connections. If bytes were
// dropped, it forwards nothing, as on a broken link.
func (p *Proxy) propagateEnd(to, from net.Conn, err error, dropped bool) {
	if dropped {
		return
	}
	if errors.Is(err, io.EOF) {
		to.(*net.TCPConn).CloseWrite()
		return
	}
	reset(to)
	reset(from)
}
