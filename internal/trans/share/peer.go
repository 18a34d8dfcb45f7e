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
)

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
	// direct is set if this node sends its own updates to the peer. Otherwise
	// they reach it through hubs.
	direct bool
	// scope selects the nodes to which the peer forwards this node's updates.
	scope relay.Scope
	// watched is set if the peer is watched closely: heartbeats are frequent and
	// timeouts short.
	watched bool
	// lastSeen is the time of the last contact in either direction, or of
	// AddPeer if there was none.
	lastSeen time.Time
	// pending holds the changes for the next update.
	pending relay.Update
	// flushScheduled is set if a timer that sends the pending changes was
	// started since the last update.
	flushScheduled bool
	client         *rpc.Client
}

// queue adds a change to the next update for the peer, if there is a connection.
// If hubs are in use, non-urgent changes are delayed so that the hubs, which
// forward the changes of many nodes, send fewer updates.
func (p *peer) queue(urgent bool, add func(*relay.Update)) {
	delayed := !urgent && p.mesh.delaysNonUrgent.Load()
	p.mu.Lock()
	connected := p.client != nil
	if connected {
		add(&p.pending)
	}
	scheduled := p.flushScheduled
	p.flushScheduled = scheduled || delayed
	p.mu.Unlock()
	switch {
	case !connected || delayed && scheduled:
	case delayed:
		time.AfterFunc(nonUrgentDelay, p.wakeUp)
	default:
		p.wakeUp()
	}
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run keeps a connection to the peer and sends updates, until the context ends or
// the peer has been silent for forgetAfter.
func (p *peer) run(ctx context.Context) {
	pause := minRedialPause
	for ctx.Err() == nil {
		err := p.connectAndSend(ctx)
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

// connectAndSend connects to the peer and sends updates until a call fails or the
// context ends.
func (p *peer) connectAndSend(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, Control: conns.SetTCPUserTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	client := rpc.NewClient(c)
	defer client.Close()
	p.attach(client)
	defer p.detach()
	for {
		if err := p.sendPending(client); err != nil {
			p.mesh.Logger.Debug().Err(err).Str("address", p.address).Msg("share: call to node failed")
			return err
		}
		t := time.NewTimer(p.heartbeatPause())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-p.wake:
			t.Stop()
			time.Sleep(batchDelay)
		case <-t.C:
		}
	}
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

// aliveTimeout returns the silence after which the peer no longer counts as
// alive. The caller holds p.mu.
func (p *peer) aliveTimeout() time.Duration {
	if p.watched {
		return watchedAliveTimeout
	}
	return unwatchedAliveTimeout
}

// attach sets the connection to the peer and queues the first update: this
// node's requests in flight, if the peer gets them directly, and from a hub those
// of the other nodes.
func (p *peer) attach(client *rpc.Client) {
	others := p.mesh.requestsOfOthers(p)
	limits := mapAll(p.mesh.Limits(), agedLimit)
	parts := mapAll(p.mesh.PartStates(), agedPart)
	stated := mapAll(p.mesh.Availability(), statedAvailability)
	rests := mapAll(p.mesh.Rests(), restLeft)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = client
	p.pending = p.mesh.ownRequests(p.direct)
	p.pending.Forwarded = others
	p.pending.Limits = limits
	p.pending.Parts = parts
	p.pending.Stated = stated
	p.pending.Rests = rests
}

// ownRequests returns an update with all requests in flight of this node, or an
// empty one if the peer doesn't get them directly.
func (m *Mesh) ownRequests(direct bool) relay.Update {
	if !direct {
		return relay.Update{}
	}
	return m.requestsOf(m.Self)
}

func (p *peer) detach() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = nil
	p.pending = relay.Update{}
}

// sendPending sends the pending changes, or an empty update as a heartbeat.
func (p *peer) sendPending(client *rpc.Client) error {
	p.mu.Lock()
	u := p.pending
	p.pending = relay.Update{}
	p.flushScheduled = false
	u.Reach = p.scope
	p.mu.Unlock()
	u.From = p.mesh.self()
	now := time.Now()
	setAges(&u, now)
	for i := range u.Forwarded {
		setAges(&u.Forwarded[i], now)
	}
	var r relay.UpdateReply
	if err := call(client, "Node.Tell", u, &r); err != nil {
		return err
	}
	p.mu.Lock()
	p.lastSeen = time.Now()
	p.mu.Unlock()
	for _, m := range r.Members {
		p.mesh.AddPeer(m.Address)
	}
	return nil
}

// setAges replaces the times in an update by ages.
func setAges(u *relay.Update, now time.Time) {
	for i := range u.Began {
		u.Began[i].Age = now.Sub(u.Began[i].Work.Since)
		u.Began[i].Work.Since = time.Time{}
	}
	for i := range u.Struck {
		u.Struck[i].Age = now.Sub(u.Struck[i].Strike.At)
		u.Struck[i].Strike.At = time.Time{}
	}
	for i := range u.Proofs {
		u.Proofs[i].Age = now.Sub(u.Proofs[i].Proof.At)
		u.Proofs[i].Proof.At = time.Time{}
	}
	for i := range u.Parts {
		u.Parts[i].Age = now.Sub(u.Parts[i].State.StruckAt)
		u.Parts[i].State.StruckAt, u.Parts[i].State.EndedWellAt = time.Time{}, time.Time{}
	}
	for i := range u.Rests {
		u.Rests[i].Left = u.Rests[i].Rest.Until.Sub(now)
		u.Rests[i].Rest.Until = time.Time{}
	}
	for i := range u.Decided {
		u.Decided[i].Age = now.Sub(u.Decided[i].Decision.At)
		u.Decided[i].Decision.At = time.Time{}
	}
	for i := range u.Limits {
		u.Limits[i].Age = now.Sub(u.Limits[i].Limit.ObservedAt)
		u.Limits[i].Limit.ObservedAt = time.Time{}
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
