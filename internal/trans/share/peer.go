package share

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// role is the part of a peer in this node's exchange of updates.
type role struct {
	// linked is set if this node keeps a connection to the peer.
	linked bool
	// direct is set if this node sends its own updates to the peer. Otherwise
	// they reach it through hubs.
	direct bool
	// grouped is set if the peer gets them as one of the group of this hub.
	grouped bool
	// scope selects the nodes to which the peer forwards this node's updates.
	scope relay.Scope
	// watched is set if the peer is watched closely: heartbeats are frequent and
	// timeouts short.
	watched bool
}

// extends reports whether a peer with this role gets updates that it didn't get with an old one,
// so that it lacks requests in flight: this node's own, or those that this node passes on as a
// hub. A peer that was direct without hubs lacks those of others when it joins the group.
func (r role) extends(old role) bool {
	return r.direct && (!old.direct || r.scope != old.scope || r.grouped && !old.grouped)
}

// peer is another node.
type peer struct {
	mesh *Mesh
	// address is where the node listens. Member holds nothing but this address
	// until the first contact.
	address string
	// wake makes run send the pending changes.
	wake chan struct{}

	mu sync.Mutex
	relay.Member
	role
	// linkedAt is when linked was last set. neededUntil is the time until which a
	// connection is kept although the peer isn't linked, since it is in use.
	linkedAt, neededUntil time.Time
	// running is set while run keeps a connection, failedAt is when a connection to the
	// peer last failed, zero after one was opened.
	running  bool
	failedAt time.Time
	// lost is set if the connection to the peer broke, here or at a hub, and can't be
	// opened again; lostAt is when that was found out.
	lost   bool
	lostAt time.Time
	// lastSeen is the time of the last contact in either direction or, if that was
	// later, with another node that told of it; or the time of AddPeer.
	lastSeen time.Time
	// pending holds the changes for the next update.
	pending relay.Update
	// flushScheduled is set if a timer that sends the pending changes was
	// started since the last update.
	flushScheduled bool
	client         *rpc.Client
	// connected is closed when client is set; nil if nobody waits for that.
	connected chan struct{}
	// frameAt is when the last frame came from the peer.
	frameAt time.Time
	// outlet is the stream to the peer, if there is one.
	outlet *outlet
}

func (p *peer) name() ident.NodeName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Name
}

// heard returns what this node heard of the peer. The caller holds p.mu.
func (p *peer) heard(now time.Time) relay.HeardMember {
	if p.lost {
		return relay.HeardMember{Member: p.Member, Age: now.Sub(p.lostAt), Lost: true}
	}
	return relay.HeardMember{Member: p.Member, Age: now.Sub(p.lastSeen)}
}

// setRole sets the role of the peer, and queues what it has missed so far if it gets this
// node's updates directly from now on. Other hubs are not told again what this node knows of
// endpoints and parts of prompts, as they would pass it on.
func (p *peer) setRole(r role, now time.Time) {
	p.mu.Lock()
	old := p.role
	p.role = r
	if r.linked && !old.linked {
		p.linkedAt = now
	}
	missesState := r.extends(old) && p.client != nil
	missesKnowledge := missesState && r.scope == relay.ScopePeer || r.linked && !old.linked && p.client != nil
	p.mu.Unlock()
	if missesState {
		p.queueState()
	}
	if missesKnowledge {
		p.queueKnowledge()
	}
	if r.linked {
		p.start()
	}
	// The timeout of a peer that is now watched is shorter, so its last contact may be too
	// long ago for it to count as alive until the next one. Other peers may have to open or
	// close a stream or a connection.
	if r != old {
		p.wakeUp()
	}
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// connecting reports whether the first connection to the peer, since it is linked, is being
// opened. The caller holds p.mu.
func (p *peer) connecting(now time.Time) bool {
	return p.client == nil && p.linked && p.failedAt.IsZero() && now.Sub(p.linkedAt) < linkGrace
}

// alive reports whether the peer was heard of recently and, as far as this node knows, can
// be reached. The caller holds p.mu.
func (p *peer) alive(now time.Time) bool {
	if p.Name == "" || p.lost || now.Sub(p.lastSeen) >= p.aliveTimeout() {
		return false
	}
	return p.client != nil || !p.linked && now.Sub(p.failedAt) > linkHoldDown || p.connecting(now)
}

// aliveTimeout returns the silence after which the peer no longer counts as
// alive. The caller holds p.mu.
func (p *peer) aliveTimeout() time.Duration {
	if p.watched && p.client != nil {
		return watchedAliveTimeout
	}
	return unwatchedAliveTimeout
}

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

// ended reports whether run is to end since no connection is needed any more.
func (p *peer) ended() bool {
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
		if p.ended() {
			return
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
			return p.fail(err)
		}
		if err := p.sendPending(client); err != nil {
			p.mesh.Logger.Debug().Err(err).Str("address", p.address).Msg("share: call to node failed")
			return p.fail(err)
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
		return nil, p.fail(err)
	}
	return rpc.NewClient(c), nil
}

// fail records that a connection to the peer failed, and returns the error.
func (p *peer) fail(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = time.Now()
	return err
}

// waitForChange waits until there is something to send, or until the next heartbeat. It
// returns false if the connection isn't needed any more.
func (p *peer) waitForChange(ctx context.Context) bool {
	sentAt := time.Now()
	for {
		t := time.NewTimer(p.heartbeatPause())
		select {
		case <-ctx.Done():
			t.Stop()
			return false
		case <-p.wake:
			t.Stop()
			p.waitForMore()
		case now := <-t.C:
			if p.sendsFrames(now) && now.Sub(sentAt) < unwatchedHeartbeatInterval {
				continue
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.needed(time.Now())
	}
}

// waitForMore waits so that one update carries several changes. A node alone has few
// changes for its hub, so it doesn't wait.
func (p *peer) waitForMore() {
	p.mu.Lock()
	toOwnHub := p.scope == relay.ScopeAll
	p.mu.Unlock()
	if !toOwnHub {
		time.Sleep(batchDelay)
	}
}

// sendsFrames reports whether the stream of the peer shows that it is alive, so that no
// heartbeat is needed.
func (p *peer) sendsFrames(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.frameAt) < heartbeatInterval+batchDelay
}

// heartbeatPause returns the longest pause between two updates to the peer.
func (p *peer) heartbeatPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched {
		return heartbeatInterval
	}
	return unwatchedHeartbeatInterval
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

// use returns the client of the peer. If there is none and this node keeps no connection to
// the peer, use opens one, which is kept for neededTime; it waits for that for the given time at
// most, and then returns nil.
func (p *peer) use(ctx context.Context, timeout time.Duration) *rpc.Client {
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

// sendPending sends the pending changes, or an empty update as a heartbeat.
func (p *peer) sendPending(client *rpc.Client) error {
	u := p.takePending()
	p.mesh.stats.callsMade.Add(1)
	var r relay.UpdateReply
	if err := call(client, "Node.Tell", u, &r); err != nil {
		return err
	}
	p.mesh.hear(r.Heard)
	for _, m := range r.Members {
		p.mesh.AddPeer(m.Address)
	}
	p.answered()
	return nil
}

// answered records that the peer answered a call.
func (p *peer) answered() {
	now := time.Now()
	p.mu.Lock()
	p.lastSeen = now
	found := p.lost
	p.lost = false
	h := p.heard(now)
	p.mu.Unlock()
	if found && h.Member.Name != "" {
		p.mesh.passOn(h, now)
	}
}

// call makes a call that ends after callTimeout at the latest. If it times out,
// the client can't be used again and is closed.
func call(c *rpc.Client, method string, args, reply any) error {
	err := conns.CallRPC(context.Background(), c, callTimeout, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return err
}
