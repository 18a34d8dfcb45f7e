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
	// beatEvery is the longest pause between two updates to a peer.
	beatEvery = time.Second
	// beatFar is the same for a peer that is not watched closely.
	beatFar = 10 * time.Second
	// gather is the time in which changes are put into one update.
	gather = 4 * time.Millisecond
	// lazyAfter is how long what is not urgent waits for something that is.
	lazyAfter = 40 * time.Millisecond
	// closeAlive is the silence after which a node that is watched closely is
	// no reader or hub any more, farAlive that of the others.
	closeAlive = 1500 * time.Millisecond
	farAlive   = 25 * time.Second
	// deadAfter is the silence after which a node counts as dead that is
	// watched closely, or to which there is no connection.
	deadAfter = 3 * time.Second
	// forgetAfter is the silence after which a node is dialled no more.
	forgetAfter = time.Minute
	callTimeout = 700 * time.Millisecond
	// askTimeout bounds a question, after which another peer is asked.
	askTimeout  = 250 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	redialLeast = 200 * time.Millisecond
	redialMost  = 2 * time.Second
)

// Mesh holds the connections to the other nodes. The exported fields are set
// before Run.
type Mesh struct {
	Self   relay.Member
	Works  *works.Table
	Logger zerolog.Logger
	// HubsFrom is the number of nodes from which a node tells only one other
	// node of its works, which passes them on. Zero means never.
	HubsFrom int
	// State answers what this node knows of the deployment.
	State func(relay.StateArgs) relay.State
	// Failed is called with the endpoints that a peer could not reach, Struck
	// with the strikes that it counted.
	Failed func([]ident.EndpointName)
	Struck func([]strik.Strike)

	// passing tells that this node passes updates on, lazy that some nodes do.
	passing, lazy atomic.Bool

	ctx context.Context
	mu  sync.Mutex
	// unpassed are updates to be passed on when this node becomes a hub.
	unpassed []relay.Update
	peers    map[string]*peer
}

// peer is another node.
type peer struct {
	mesh *Mesh
	// address is where the node listens; the rest is known once it was heard.
	address string
	wake    chan struct{}

	mu sync.Mutex
	relay.Member
	// told tells that this node's works go straight to the peer. Otherwise
	// another node of its data centre passes them on.
	told bool
	// reach tells how far the peer passes them on.
	reach relay.Reach
	// close tells that the peer is watched closely.
	close   bool
	heard   time.Time
	pending relay.Update
	// waits tells that something pending is sent before long.
	waits  bool
	client *rpc.Client
}

// Init prepares the mesh. It is called once before any other method.
func (m *Mesh) Init(ctx context.Context) {
	m.ctx = ctx
	m.peers = map[string]*peer{}
}

// Meet begins to talk to a node.
func (m *Mesh) Meet(address string) {
	if address == m.Self.Address || address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	p := &peer{mesh: m, address: address, Member: relay.Member{Address: address}, wake: make(chan struct{}, 1), heard: time.Now(), told: true, close: true}
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

// Nodes returns the number of nodes known, this one included.
func (m *Mesh) Nodes() int {
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

// Began tells the peers of a work.
func (m *Mesh) Began(w works.Request) {
	m.tell(true, func(u *relay.Update) {
		u.Began = append(u.Began, relay.WorkNote{Work: w})
	})
}

// Wrote tells the peers that a prompt is read.
func (m *Mesh) Wrote(id works.ID) {
	m.tell(false, func(u *relay.Update) { u.Wrote = append(u.Wrote, id) })
}

// Done tells the peers that a work has ended.
func (m *Mesh) Done(id works.ID) {
	m.tell(false, func(u *relay.Update) { u.Done = append(u.Done, id) })
}

// Report tells the peers of an endpoint that can't be reached.
func (m *Mesh) Report(n ident.EndpointName) {
	m.tell(true, func(u *relay.Update) { u.Failed = append(u.Failed, n) })
}

// Strike tells the peers of a strike.
func (m *Mesh) Strike(s strik.Strike) {
	m.tell(true, func(u *relay.Update) { u.Struck = append(u.Struck, relay.StrikeNote{Strike: s}) })
}

func (m *Mesh) tell(urgent bool, add func(*relay.Update)) {
	for _, p := range m.all() {
		p.mu.Lock()
		told := p.told
		p.mu.Unlock()
		if told {
			p.queue(urgent, add)
		}
	}
}

// queue adds to what the peer is told next, if there is a connection. What is
// not urgent waits for a while where few nodes pass on what many tell.
func (p *peer) queue(urgent bool, add func(*relay.Update)) {
	lazy := !urgent && p.mesh.lazy.Load()
	p.mu.Lock()
	open := p.client != nil
	if open {
		add(&p.pending)
	}
	waits := p.waits
	p.waits = waits || lazy
	p.mu.Unlock()
	switch {
	case !open || lazy && waits:
	case lazy:
		time.AfterFunc(lazyAfter, p.rouse)
	default:
		p.rouse()
	}
}

func (p *peer) rouse() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hear notes a sign of life of a node.
func (m *Mesh) hear(from relay.Member) {
	m.Meet(from.Address)
	m.mu.Lock()
	p := m.peers[from.Address]
	m.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	fresh := p.Name == ""
	p.Member = from
	p.heard = time.Now()
	p.mu.Unlock()
	if fresh {
		m.Logger.Info().Str("peer", string(from.Name)).Str("address", from.Address).Msg("share: node is known")
	}
}

// run talks to the peer until it is silent for too long.
func (p *peer) run(ctx context.Context) {
	pause := redialLeast
	for ctx.Err() == nil {
		err := p.talk(ctx)
		p.mu.Lock()
		silent := time.Since(p.heard)
		p.mu.Unlock()
		if silent > forgetAfter {
			p.mesh.forget(p, err)
			return
		}
		if silent < deadAfter {
			pause = redialLeast
		}
		delay.For(ctx, pause)
		pause = min(2*pause, redialMost)
	}
}

func (m *Mesh) forget(p *peer, err error) {
	m.mu.Lock()
	delete(m.peers, p.address)
	m.mu.Unlock()
	m.Logger.Info().Str("peer", string(p.Name)).Str("address", p.address).Err(err).Msg("share: node is forgotten")
}

// talk connects and sends updates until a call fails.
func (p *peer) talk(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, Control: conns.Harden}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	client := rpc.NewClient(c)
	defer client.Close()
	p.begin(client)
	defer p.end()
	for {
		if err := p.push(client); err != nil {
			p.mesh.Logger.Debug().Err(err).Str("address", p.address).Msg("share: lost a node")
			return err
		}
		t := time.NewTimer(p.beat())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-p.wake:
			t.Stop()
			time.Sleep(gather)
		case <-t.C:
		}
	}
}

// beat is the longest pause between two updates.
func (p *peer) beat() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.close {
		return beatEvery
	}
	return beatFar
}

// aliveFor is the silence after which the peer is no reader or hub any more.
func (p *peer) aliveFor() time.Duration {
	if p.close {
		return closeAlive
	}
	return farAlive
}

// begin queues all works of this node for the peer.
func (p *peer) begin(client *rpc.Client) {
	known := p.mesh.known(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = client
	p.pending = p.mesh.whole(p.told)
	p.pending.Forwarded = known
}

// whole is an update with all works of this node, if they are to be told.
func (m *Mesh) whole(told bool) relay.Update {
	if !told {
		return relay.Update{}
	}
	return m.worksOf(m.Self)
}

func (p *peer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = nil
	p.pending = relay.Update{}
}

// push sends what is pending.
func (p *peer) push(client *rpc.Client) error {
	p.mu.Lock()
	u := p.pending
	p.pending = relay.Update{}
	p.waits = false
	u.Reach = p.reach
	p.mu.Unlock()
	u.From = p.mesh.Self
	now := time.Now()
	age(&u, now)
	for i := range u.Forwarded {
		age(&u.Forwarded[i], now)
	}
	var r relay.UpdateReply
	if err := call(client, "Node.Tell", u, &r); err != nil {
		return err
	}
	p.mu.Lock()
	p.heard = time.Now()
	p.mu.Unlock()
	for _, m := range r.Members {
		p.mesh.Meet(m.Address)
	}
	return nil
}

// age replaces the times of an update by ages.
func age(u *relay.Update, now time.Time) {
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
		silent := now.Sub(p.heard)
		dead := p.Name != "" && (silent > farAlive || silent > deadAfter && (p.close || p.client == nil))
		name := p.Name
		p.mu.Unlock()
		if dead {
			m.Works.RemoveNode(name)
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

// Ask asks a peer for what it knows.
func (m *Mesh) Ask(address string, a relay.StateArgs) (relay.State, error) {
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
	if err := conns.CallRPC(m.ctx, c, askTimeout, "Node.State", a, &s); err != nil {
		return relay.State{}, err
	}
	return s, nil
}

// Addresses returns the addresses of the peers that this node is connected to.
func (m *Mesh) Addresses() []string {
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
