package share

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// needed reports whether a connection to the peer is to be kept. The caller holds p.mu.
func (p *peer) needed(now time.Time) bool { return p.linked || now.Before(p.neededUntil) }

// start runs the peer unless it already runs.
func (p *peer) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		p.running = true
		go p.run(p.mesh.ctx)
	}
}

// endIfUnneeded marks the peer as no longer running, and returns true, if no connection to it
// is needed any more.
func (p *peer) endIfUnneeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = p.needed(time.Now())
	return !p.running
}

// run keeps a connection to the peer and sends updates, until the context ends, the
// connection isn't needed or the peer has been silent for forgetAfter.
func (p *peer) run(ctx context.Context) {
	pause := minRedialPause
	for ctx.Err() == nil {
		err := p.connectAndSend(ctx)
		if p.endIfUnneeded() {
			return
		}
		if err == nil {
			// A call needs a connection since the last one was closed as unneeded.
			continue
		}
		p.mu.Lock()
		silent := time.Since(p.lastSeen)
		p.mu.Unlock()
		if silent > forgetAfter {
			p.mesh.forget(p, err)
			return
		}
		if silent < deadAfter {
			pause = minRedialPause
		}
		delay.For(ctx, pause)
		pause = min(2*pause, maxRedialPause)
	}
}

// connectAndSend connects to the peer and sends updates until a call fails, the
// connection isn't needed or the context ends.
func (p *peer) connectAndSend(ctx context.Context) error {
	client, err := p.dial(ctx)
	if err != nil {
		return err
	}
	defer client.Close()
	defer p.detach()
	p.attach(client)
	for {
		if err := p.updateStream(ctx); err != nil {
			return p.recordFailure(err)
		}
		if err := p.sendPending(client); err != nil {
			p.mesh.Logger.Debug().Err(err).Str("address", p.address).Msg("share: call to node failed")
			return p.recordFailure(err)
		}
		p.releaseStream()
		if !p.waitForChange(ctx) {
			return ctx.Err()
		}
	}
}

// dial opens a connection for calls.
func (p *peer) dial(ctx context.Context) (*rpc.Client, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: conns.SetTCPUserTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, p.recordFailure(err)
	}
	return rpc.NewClient(c), nil
}

// recordFailure records that a connection to the peer failed, and returns the error.
func (p *peer) recordFailure(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = time.Now()
	return err
}

// attach sets the connection to the peer and queues the first update.
func (p *peer) attach(client *rpc.Client) {
	p.mu.Lock()
	p.client, p.failedAt = client, time.Time{}
	p.pending.Joins = true
	linked := p.linked
	if p.connected != nil {
		close(p.connected)
		p.connected = nil
	}
	p.mu.Unlock()
	p.queueState()
	if linked {
		p.queueKnowledge()
	}
}

func (p *peer) detach() {
	p.mu.Lock()
	o := p.outlet
	p.client, p.outlet = nil, nil
	p.pending = relay.Update{}
	p.mu.Unlock()
	if o != nil {
		p.mesh.fanout.leave(o)
	}
}

// acquireClient returns the client of the peer and keeps its connection for neededTime. If there
// is no client and this node keeps no connection to the peer, acquireClient opens one, waits for
// it for the given time at most, and then returns nil.
func (p *peer) acquireClient(ctx context.Context, timeout time.Duration) *rpc.Client {
	p.mu.Lock()
	if p.client != nil || p.linked {
		defer p.mu.Unlock()
		p.neededUntil = time.Now().Add(neededTime)
		return p.client
	}
	p.neededUntil = time.Now().Add(neededTime)
	if p.connected == nil {
		p.connected = make(chan struct{})
	}
	connected := p.connected
	p.mu.Unlock()
	p.start()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-connected:
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}
