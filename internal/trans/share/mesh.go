// Package share connects the nodes with each other over net/rpc: each tells
// the others at once which requests it sends where, and gives those that are
// cut off from the platform what it knows.
package share

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// heartbeatEvery is the longest pause between two updates to a peer.
	heartbeatEvery = time.Second
	// unwatchedHeartbeatEvery is the same for a peer that is not watched closely.
	unwatchedHeartbeatEvery = 10 * time.Second
	// batchDelay is the time in which changes are put into one update.
	batchDelay = 4 * time.Millisecond
	// nonUrgentDelay is how long what is not urgent waits for something that is.
	nonUrgentDelay = 40 * time.Millisecond
	// watchedAliveTimeout is the silence after which a node that is watched closely is
	// no reader or hub any more, farAlive that of the others.
	watchedAliveTimeout   = 1500 * time.Millisecond
	unwatchedAliveTimeout = 25 * time.Second
	// deadAfter is the silence after which a node counts as dead that is
	// watched closely, or to which there is no connection.
	deadAfter = 3 * time.Second
	// forgetAfter is the silence after which a node is dialled no more.
	forgetAfter = time.Minute
	callTimeout = 700 * time.Millisecond
	// stateTimeout bounds a question, after which another peer is asked.
	stateTimeout   = 250 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	minRedialPause = 200 * time.Millisecond
	maxRedialPause = 2 * time.Second
)

// Mesh holds the connections to the other nodes. The exported fields are set
// before Run.
type Mesh struct {
	Self     relay.Member
	InFlight *works.Table
	Logger   zerolog.Logger
	// HubThreshold is the number of nodes from which a node tells only one other
	// node of its works, which passes them on. Zero means never.
	HubThreshold int
	// State answers what this node knows of the deployment.
	State func(relay.StateArgs) relay.State
	// OnFailed is called with the endpoints that a peer could not reach, Struck
	// with the strikes that it counted.
	OnFailed func([]ident.EndpointName)
	OnStruck func([]strik.Strike)

	// isHub tells that this node passes updates on, delaysNonUrgent that some nodes do.
	isHub, delaysNonUrgent atomic.Bool

	ctx context.Context
	mu  sync.Mutex
	// unforwarded are updates to be passed on when this node becomes a hub.
	unforwarded []relay.Update
	peers       map[string]*peer
}

// peer is another node.
type peer struct {
	mesh *Mesh
	// address is where the node listens; the rest is known once it was heard.
	address string
	wake    chan struct{}

	mu sync.Mutex
	relay.Member
	// direct tells that this node's works go straight to the peer. Otherwise
	// another node of its data centre passes them on.
	direct bool
	// scope tells how far the peer passes them on.
	scope relay.Scope
	// watched tells that the peer is watched closely.
	watched  bool
	lastSeen time.Time
	pending  relay.Update
	// flushScheduled tells that something pending is sent before long.
	flushScheduled bool
	client         *rpc.Client
}

// Init prepares the mesh. It is called once before any other method.
func (m *Mesh) Init(ctx context.Context) {
	m.ctx = ctx
	m.peers = map[string]*peer{}
}

// AddPeer begins to talk to a node.
func (m *Mesh) AddPeer(address string) {
	if address == m.Self.Address || address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	p := &peer{mesh: m, address: address, Member: relay.Member{Address: address}, wake: make(chan struct{}, 1), lastSeen: time.Now(), direct: true, watched: true}
	m.peers[address] = p
	go p.run(m.ctx)
}

func (m *Mesh) all() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	ps := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		ps = append(ps, p)
	}
	return ps
}

// NodeCount returns the number of nodes known, this one included.
func (m *Mesh) NodeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// Members returns the nodes known, this one included.
func (m *Mesh) Members() []relay.Member {
	ms := []relay.Member{m.Self}
	for _, p := range m.all() {
		p.mu.Lock()
		ms = append(ms, p.Member)
		p.mu.Unlock()
	}
	return ms
}

// AnnounceStart tells the peers of a work.
func (m *Mesh) AnnounceStart(w works.Work) {
	m.announce(true, func(u *relay.Update) {
		u.Began = append(u.Began, relay.AgedRequest{Work: w})
	})
}

// AnnounceDecoding tells the peers that a prompt is read.
func (m *Mesh) AnnounceDecoding(id works.ID) {
	m.announce(false, func(u *relay.Update) { u.Wrote = append(u.Wrote, id) })
}

// AnnounceEnd tells the peers that a work has ended.
func (m *Mesh) AnnounceEnd(id works.ID) {
	m.announce(false, func(u *relay.Update) { u.Done = append(u.Done, id) })
}

// AnnounceFailure tells the peers of an endpoint that can't be reached.
func (m *Mesh) AnnounceFailure(n ident.EndpointName) {
	m.announce(true, func(u *relay.Update) { u.Failed = append(u.Failed, n) })
}

// AnnounceStrike tells the peers of a strike.
func (m *Mesh) AnnounceStrike(s strik.Strike) {
	m.announce(true, func(u *relay.Update) { u.Struck = append(u.Struck, relay.AgedStrike{Strike: s}) })
}

func (m *Mesh) announce(urgent bool, add func(*relay.Update)) {
	for _, p := range m.all() {
		p.mu.Lock()
		told := p.direct
		p.mu.Unlock()
		if told {
			p.queue(urgent, add)
		}
	}
}

// queue adds to what the peer is told next, if there is a connection. What is
// not urgent waits for a while where few nodes pass on what many tell.
func (p *peer) queue(urgent bool, add func(*relay.Update)) {
	lazy := !urgent && p.mesh.delaysNonUrgent.Load()
	p.mu.Lock()
	open := p.client != nil
	if open {
		add(&p.pending)
	}
	waits := p.flushScheduled
	p.flushScheduled = waits || lazy
	p.mu.Unlock()
	switch {
	case !open || lazy && waits:
	case lazy:
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

// markSeen notes a sign of life of a node.
func (m *Mesh) markSeen(from relay.Member) {
	m.AddPeer(from.Address)
	m.mu.Lock()
	p := m.peers[from.Address]
	m.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	fresh := p.Name == ""
	p.Member = from
	p.lastSeen = time.Now()
	p.mu.Unlock()
	if fresh {
		m.Logger.Info().Str("peer", string(from.Name)).Str("address", from.Address).Msg("share: node is known")
	}
}

// run talks to the peer until it is silent for too long.
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

func (m *Mesh) forget(p *peer, err error) {
	m.mu.Lock()
	delete(m.peers, p.address)
	m.mu.Unlock()
	m.Logger.Info().Str("peer", string(p.Name)).Str("address", p.address).Err(err).Msg("share: node is forgotten")
}

// connectAndSend connects and sends updates until a call fails.
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
			p.mesh.Logger.Debug().Err(err).Str("address", p.address).Msg("share: lost a node")
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

// heartbeatPause is the longest pause between two updates.
func (p *peer) heartbeatPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched {
		return heartbeatEvery
	}
	return unwatchedHeartbeatEvery
}

// aliveTimeout is the silence after which the peer is no reader or hub any more.
func (p *peer) aliveTimeout() time.Duration {
	if p.watched {
		return watchedAliveTimeout
	}
	return unwatchedAliveTimeout
}

// attach queues all works of this node for the peer.
func (p *peer) attach(client *rpc.Client) {
	known := p.mesh.requestsOfOthers(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = client
	p.pending = p.mesh.ownRequests(p.direct)
	p.pending.Forwarded = known
}

// ownRequests is an update with all works of this node, if they are to be told.
func (m *Mesh) ownRequests(told bool) relay.Update {
	if !told {
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

// sendPending sends what is pending.
func (p *peer) sendPending(client *rpc.Client) error {
	p.mu.Lock()
	u := p.pending
	p.pending = relay.Update{}
	p.flushScheduled = false
	u.Reach = p.scope
	p.mu.Unlock()
	u.From = p.mesh.Self
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

// setAges replaces the times of an update by ages.
func setAges(u *relay.Update, now time.Time) {
	for i := range u.Began {
		u.Began[i].Age = now.Sub(u.Began[i].Work.Since)
		u.Began[i].Work.Since = time.Time{}
	}
	for i := range u.Struck {
		u.Struck[i].Age = now.Sub(u.Struck[i].Strike.At)
		u.Struck[i].Strike.At = time.Time{}
	}
}

// call bounds a call, after which the client is of no use.
func call(c *rpc.Client, method string, args, reply any) error {
	err := conns.CallRPC(context.Background(), c, callTimeout, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return err
}

// Sweep chooses whom to tell and drops the works of nodes that are dead. It is called now and then.
func (m *Mesh) Sweep(now time.Time) {
	m.chooseHubs(now)
	for _, p := range m.all() {
		p.mu.Lock()
		silent := now.Sub(p.lastSeen)
		dead := p.Name != "" && (silent > unwatchedAliveTimeout || silent > deadAfter && (p.watched || p.client == nil))
		name := p.Name
		p.mu.Unlock()
		if dead {
			m.InFlight.Drop(name)
		}
	}
}

// Readers returns the addresses of the nodes that read the platform's store for
// the others: the first ones alive, in an order that all nodes share.
func (m *Mesh) Readers(n int, now time.Time) []string {
	var as []string
	for _, k := range m.connected(now) {
		if k.alive && len(as) < n {
			as = append(as, k.Address)
		}
	}
	return as
}

// FetchState asks a peer for what it knows.
func (m *Mesh) FetchState(address string, a relay.StateArgs) (relay.State, error) {
	m.mu.Lock()
	p := m.peers[address]
	m.mu.Unlock()
	var s relay.State
	if p == nil {
		return s, rpc.ErrShutdown
	}
	p.mu.Lock()
	c := p.client
	p.mu.Unlock()
	if c == nil {
		return s, rpc.ErrShutdown
	}
	a.From = m.Self
	if err := conns.CallRPC(m.ctx, c, stateTimeout, "Node.State", a, &s); err != nil {
		return relay.State{}, err
	}
	return s, nil
}

// ConnectedAddresses returns the addresses of the peers that this node is connected to.
func (m *Mesh) ConnectedAddresses() []string {
	var as []string
	for _, p := range m.all() {
		p.mu.Lock()
		if p.client != nil {
			as = append(as, p.address)
		}
		p.mu.Unlock()
	}
	return as
}
