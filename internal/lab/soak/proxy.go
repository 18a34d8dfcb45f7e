package soak

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
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
	// ModeDelay forwards bytes Proxy.Delay after they were read.
	ModeDelay
)

// forwardDelay is the delay of forwarded bytes in ModeDelay if Proxy.Delay is zero.
const forwardDelay = 120 * time.Millisecond

const proxyBufferSize = 32 << 10

// Proxy forwards TCP connections and can disturb them. The exported fields are set
// before Run.
type Proxy struct {
	Listener net.Listener
	// Target returns the address to which connections are forwarded.
	Target func() string
	// Owner returns the node that has the other end of a client's connection. It must be
	// set if Cut or OwnerOf is used.
	Owner func(client net.Conn) ident.NodeName
	// Delay is the delay of forwarded bytes in ModeDelay; zero means forwardDelay.
	Delay time.Duration

	mu    sync.Mutex
	mode  ProxyMode
	pairs map[*connPair]struct{}
	// cuts are the nodes whose connections are disturbed.
	cuts map[ident.NodeName]linkCut
}

// connPair is a connection from a client and the one to the target.
type connPair struct {
	client, target net.Conn
	// cut is the mode of the connection while its node is cut; ModePass otherwise.
	cut ProxyMode
	// owner is the node that has the client's end. findOwner guards it.
	owner     ident.NodeName
	findOwner sync.Once
}

// Cut disturbs the connections of one node, the open ones and those it opens, until
// Restore is called. ownerOf finds the owners of the open connections, as Owner does.
func (p *Proxy) Cut(n ident.NodeName, c linkCut, ownerOf func(net.Conn) ident.NodeName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts == nil {
		p.cuts = map[ident.NodeName]linkCut{}
	}
	p.cuts[n] = c
	for pair := range p.pairs {
		if ownerOf(pair.client) != n {
			continue
		}
		pair.cut = c.open
		if c.open == ModeRefuse {
			reset(pair.client)
			reset(pair.target)
		}
	}
}

// Restore ends the cut of a node. Connections that lost bytes stay silent.
func (p *Proxy) Restore(n ident.NodeName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cuts, n)
	for pair := range p.pairs {
		pair.cut = ModePass
	}
}

// cutOf returns the mode of a new connection of a client whose node may be cut.
func (p *Proxy) cutOf(client net.Conn) ProxyMode {
	p.mu.Lock()
	cuts := len(p.cuts)
	p.mu.Unlock()
	if cuts == 0 {
		return ModePass
	}
	owner := p.Owner(client)
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cuts[owner]
	if !ok {
		return ModePass
	}
	return c.opened
}

// OwnerOf returns the node that sends over the proxy's connection to the target with the given
// local address, or an empty name if it isn't known.
func (p *Proxy) OwnerOf(local string) ident.NodeName {
	pair := p.pairOf(local)
	if pair == nil {
		return ""
	}
	pair.findOwner.Do(func() { pair.owner = p.Owner(pair.client) })
	return pair.owner
}

// pairOf returns the pair whose connection to the target has a local address; nil if there
// is none.
func (p *Proxy) pairOf(local string) *connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		if pair.target.LocalAddr().String() == local {
			return pair
		}
	}
	return nil
}

// modeOf returns the mode of a connection.
func (p *Proxy) modeOf(c *connPair) ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.cut != ModePass {
		return c.cut
	}
	return p.mode
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
	cut := p.cutOf(clientConn)
	if p.currentMode() == ModeRefuse || cut == ModeRefuse {
		reset(clientConn)
		return
	}
	targetConn, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(clientConn)
		return
	}
	c := &connPair{client: clientConn, target: targetConn, cut: cut}
	p.mu.Lock()
	if p.pairs == nil {
		p.pairs = map[*connPair]struct{}{}
	}
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, targetConn, clientConn, true) })
	wg.Go(func() { p.copy(c, clientConn, targetConn, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. After it has dropped bytes, it
// drops all later ones too, as on a broken link.
func (p *Proxy) copy(c *connPair, to, from net.Conn, toTarget bool) {
	dropped := false
	b := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(b)
		m := p.modeOf(c)
		if m == ModeDelay {
			time.Sleep(cmp.Or(p.Delay, forwardDelay))
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
