package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with connections.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Refuse resets open and new connections.
	Refuse
	// Silence accepts connections and reads bytes, but forwards nothing.
	Silence
	// OneWay forwards requests but drops answers.
	OneWay
	// Delay forwards all bytes with a delay.
	Delay
)

// forwardDelay is the delay of forwarded bytes in the mode Delay.
const forwardDelay = 120 * time.Millisecond

const proxyBufferSize = 32 << 10

// Proxy forwards TCP connections and can disturb them. The exported fields are set
// before Run.
type Proxy struct {
	Listener net.Listener
	// Target returns the address to which connections are forwarded.
	Target func() string

	mu    sync.Mutex
	mode  Mode
	pairs map[*connPair]struct{}
}

// connPair is a connection from a caller and the one to the target.
type connPair struct {
	caller, target net.Conn
}

// Address returns the address that callers connect to.
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

// SetMode changes the mode. It applies to open connections too.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == Refuse {
		p.Reset()
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.caller)
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

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serve forwards a connection until both directions have ended.
func (p *Proxy) serve(callerConn net.Conn) {
	if p.currentMode() == Refuse {
		reset(callerConn)
		return
	}
	targetConn, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(callerConn)
		return
	}
	c := &connPair{callerConn, targetConn}
	p.mu.Lock()
	if p.pairs == nil {
		p.pairs = map[*connPair]struct{}{}
	}
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(targetConn, callerConn, true) })
	wg.Go(func() { p.copy(callerConn, targetConn, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards one direction of a connection: requests or answers. Once bytes
// were dropped, all later ones are too, as on a broken link.
func (p *Proxy) copy(to, from net.Conn, requests bool) {
	dropped := false
	b := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(b)
		m := p.currentMode()
		if m == Delay {
			time.Sleep(forwardDelay)
		}
		dropped = dropped || m == Silence || m == OneWay && !requests
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

// propagateEnd forwards the end of one direction: a close as a close, and an error
// as a reset of both connections. If bytes were dropped, it forwards nothing, as on
// a broken link.
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
