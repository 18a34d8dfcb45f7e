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
	// Refuse resets connections, open ones and new ones.
	Refuse
	// Silence takes bytes and connections and forwards nothing.
	Silence
	// OneWay forwards what callers write and no answers.
	OneWay
	// Delay forwards all bytes late.
	Delay
)

// lateBy is how late a proxy forwards in the mode Delay.
const lateBy = 120 * time.Millisecond

const proxyBuffer = 32 << 10

// Proxy forwards connections on the loopback and disturbs them on command. The
// exported fields are set before Run.
type Proxy struct {
	Listener net.Listener
	// Target returns the address that connections go to.
	Target func() string

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]struct{}
}

// pair is a caller's connection and the one that it is forwarded on.
type pair struct {
	near, far net.Conn
}

// Address is where callers connect.
func (p *Proxy) Address() string { return p.Listener.Addr().String() }

// Run forwards until the context ends.
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

// Set changes what the proxy does.
func (p *Proxy) Set(m Mode) {
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
		reset(c.near)
		reset(c.far)
	}
	clear(p.pairs)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) serve(near net.Conn) {
	if p.current() == Refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(near)
		return
	}
	c := &pair{near, far}
	p.mu.Lock()
	if p.pairs == nil {
		p.pairs = map[*pair]struct{}{}
	}
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, true) })
	wg.Go(func() { p.copy(near, far, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards one direction. Once bytes were dropped the rest is too, as on
// a link that is cut.
func (p *Proxy) copy(to, from net.Conn, request bool) {
	dropped := false
	b := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(b)
		m := p.current()
		if m == Delay {
			time.Sleep(lateBy)
		}
		dropped = dropped || m == Silence || m == OneWay && !request
		if n > 0 && !dropped {
			if _, werr := to.Write(b[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.end(to, from, err, dropped)
			return
		}
	}
}

// end passes the end of one direction on; a reset stays one. The end of a cut
// link is not passed on.
func (p *Proxy) end(to, from net.Conn, err error, dropped bool) {
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
