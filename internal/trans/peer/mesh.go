// Package peer carries heartbeats, strikes and configurations between nodes
// over net/rpc. Strikes record endpoint crashes, see package strik.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	heartbeatInterval = time.Second
	// heartbeatFanout is the maximum number of peers to which each round of
	// heartbeats is sent.
	heartbeatFanout = 6
	callTimeout     = time.Second
	// announceTimeout bounds how long AnnounceStrikes waits for the peers, and thus
	// delays a request.
	announceTimeout = 500 * time.Millisecond
	// maxKnown is the maximum number of other members in a heartbeat.
	maxKnown = 16
)

// Mesh exchanges heartbeats, strikes and configurations with the other nodes.
// Its exported fields are set before Run.
type Mesh struct {
	// Self describes this node.
	Self func() membr.Member
	// Seeds are the peer addresses from the settings.
	Seeds  []string
	Clock  *trace.Clock
	Ring   *trace.Ring
	Logger zerolog.Logger
	// FillHeartbeat adds this node's strikes and its counts of requests in flight
	// and of suspect requests to a heartbeat.
	FillHeartbeat func(*messg.Heartbeat)
	// ApplyHeartbeat records the strikes and the counts in the heartbeat of another
	// node. When a node becomes dead, it is called with a heartbeat that holds only
	// the node's name, which clears the counts of that node.
	ApplyHeartbeat func(messg.Heartbeat)
	// ConfigReply returns this node's configuration.
	ConfigReply func() messg.ConfigReply
	// ApplyConfig is called with a configuration fetched from a peer whose heartbeat
	// had a newer version than this node's. The configuration is based, see
	// messg.ConfigReply.
	ApplyConfig func(messg.ConfigReply)
	// MergeStrikes records strikes announced by a peer.
	MergeStrikes func([]strik.Strike)
	// MergeProofs records proofs announced by a peer.
	MergeProofs func([]strik.Proof)

	mu        sync.Mutex
	startedAt time.Time
	members   *membr.Table
	// peerAddrs holds the peer addresses from the VM list, and those learned from
	// heartbeats since the list was last read.
	peerAddrs ident.Set[string]
	// clients holds the open connections by peer address.
	clients map[string]*rpc.Client
}

// Init prepares the mesh. It must be called once before all other methods.
func (m *Mesh) Init() {
	m.startedAt = time.Now()
	m.members = membr.New()
	m.clients = map[string]*rpc.Client{}
	m.peerAddrs = ident.Set[string]{}
}

// Run serves peers and sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.serve(ctx, l) })
	g.Go(func() error { m.sendLoop(ctx); return nil })
	return g.Wait()
}

// SetPeerAddrs sets the peer addresses from the VM list and forgets those learned
// from heartbeats.
func (m *Mesh) SetPeerAddrs(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerAddrs = ident.SetOf(addrs...)
}

// Members returns the known other nodes with their states.
func (m *Mesh) Members() []membr.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Entries()
}

// Alive reports whether a node with the given boot number may be alive: its latest heartbeat
// has that number and the node isn't dead, or this node may not have heard of that run yet.
// The node may be suspect or leaving.
func (m *Mesh) Alive(n ident.NodeName, boot int64) bool {
	if s := m.Self(); s.Name == n {
		return s.Boot == boot
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.members.Get(n)
	if !ok {
		return time.Since(m.startedAt) < membr.DeadAfter
	}
	return e.Boot <= boot && e.State != membr.Dead
}

// Rank returns the index of this node in the list of nodes in state membr.Alive,
// sorted by name, and the length of that list. This node is always in the list.
func (m *Mesh) Rank() (i, n int) {
	self := m.Self().Name
	n = 1
	for _, e := range m.Members() {
		if e.State != membr.Alive || e.Name == self {
			continue
		}
		n++
		if e.Name < self {
			i++
		}
	}
	return i, n
}

// receive records a heartbeat received directly from its sender.
func (m *Mesh) receive(h messg.Heartbeat) {
	m.Clock.Observe(h.Stamp)
	m.mu.Lock()
	cs := m.members.RecordHeartbeat(h.From, time.Now())
	m.mu.Unlock()
	m.applyChanges(cs)
	m.ApplyHeartbeat(h)
}

// applyChanges adds state changes of members to the timeline, and clears the
// counts of requests in flight and of suspect requests of nodes that are now dead.
func (m *Mesh) applyChanges(cs []membr.Change) {
	for _, c := range cs {
		was := string(c.From)
		if was == "" {
			was = "unknown"
		}
		m.Ring.Add(trace.Member, "", "node "+string(c.Name)+" is "+string(c.To)+", was "+was)
		if c.To == membr.Dead {
			m.ApplyHeartbeat(messg.Heartbeat{From: membr.Member{Name: c.Name}})
		}
	}
}

// newHeartbeat returns a heartbeat with this node's state and up to maxKnown alive
// members.
func (m *Mesh) newHeartbeat() messg.Heartbeat {
	h := messg.Heartbeat{From: m.Self(), Stamp: m.Clock.Now()}
	for _, e := range m.Members() {
		if e.State == membr.Alive && len(h.Known) < maxKnown {
			h.Known = append(h.Known, e.Member)
		}
	}
	m.FillHeartbeat(&h)
	return h
}

// sendLoop sends heartbeats periodically until the context ends.
func (m *Mesh) sendLoop(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		m.SendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// SendHeartbeats exchanges heartbeats with random peers, and marks members without
// a recent heartbeat as suspect or dead.
func (m *Mesh) SendHeartbeats(ctx context.Context) {
	h := m.newHeartbeat()
	var g errgroup.Group
	for _, a := range m.randomPeers() {
		g.Go(func() error { m.exchange(ctx, a, h); return nil })
	}
	g.Wait()
	m.mu.Lock()
	cs := m.members.Tick(time.Now())
	m.mu.Unlock()
	m.applyChanges(cs)
}

// randomPeers returns the addresses of at most heartbeatFanout peers in random
// order.
func (m *Mesh) randomPeers() []string {
	self := m.Self().Peer
	m.mu.Lock()
	defer m.mu.Unlock()
	set := ident.SetOf(m.Seeds...)
	for a := range m.peerAddrs {
		set.Add(a)
	}
	for _, e := range m.members.Entries() {
		if e.State != membr.Dead {
			set.Add(e.Peer)
		}
	}
	delete(set, self)
	as := set.Sorted()
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), heartbeatFanout)]
}

// exchange sends a heartbeat to a peer and processes the one in its answer. If
// the peer has a newer configuration, exchange fetches it.
func (m *Mesh) exchange(ctx context.Context, addr string, h messg.Heartbeat) {
	var r messg.Heartbeat
	if err := m.call(ctx, addr, "Node.Beat", h, &r); err != nil {
		return
	}
	m.receive(r)
	for _, k := range r.Known {
		m.addAddress(k)
	}
	if r.From.Version > h.From.Version {
		m.fetchConfig(ctx, addr)
	}
}

// addAddress records the address of a member that is known only from another
// member's heartbeat.
func (m *Mesh) addAddress(k membr.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.members.Get(k.Name); !ok && k.Peer != "" {
		m.peerAddrs.Add(k.Peer)
	}
}

// fetchConfig fetches the configuration of a peer, and passes it to ApplyConfig if
// it is based, see messg.ConfigReply.
func (m *Mesh) fetchConfig(ctx context.Context, addr string) {
	var r messg.ConfigReply
	if err := m.call(ctx, addr, "Node.Config", messg.ConfigArgs{From: m.Self().Name}, &r); err != nil {
		return
	}
	if r.Based {
		m.ApplyConfig(r)
	}
}

// AnnounceStrikes sends new strikes to all known peers that aren't dead. It
// returns when all have answered or after announceTimeout. It waits so that a
// caller who repeats a failed request at another node at once usually finds the
// strikes recorded there.
func (m *Mesh) AnnounceStrikes(ss []strik.Strike) {
	m.announce(messg.StrikeArgs{Stamp: m.Clock.Now(), Strikes: ss})
}

// AnnounceProof sends a proof that clears parts of prompts to the peers, as
// AnnounceStrikes does.
func (m *Mesh) AnnounceProof(p strik.Proof) {
	m.announce(messg.StrikeArgs{Stamp: m.Clock.Now(), Proofs: []strik.Proof{p}})
}

func (m *Mesh) announce(args messg.StrikeArgs) {
	var wg sync.WaitGroup
	for _, e := range m.Members() {
		if e.State == membr.Dead {
			continue
		}
		wg.Go(func() { m.sendStrikes(e.Peer, args) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	t := time.NewTimer(announceTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (m *Mesh) sendStrikes(addr string, args messg.StrikeArgs) {
	if err := m.call(context.Background(), addr, "Node.Strike", args, &messg.Empty{}); err != nil {
		m.Logger.Warn().Err(err).Str("peer", addr).Msg("peer: announcing strikes failed")
	}
}

// call calls a method of a peer and waits for at most callTimeout. On any error it
// closes the connection, and the next call opens a new one.
func (m *Mesh) call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := m.client(ctx, addr)
	if err != nil {
		return err
	}
	err = conns.CallRPC(ctx, c, callTimeout, method, args, reply)
	if err != nil {
		m.dropClient(addr, c)
	}
	return errors.Annotatef(err, "%s at %s", method, addr)
}

// client returns the open connection to a peer, or opens one.
func (m *Mesh) client(ctx context.Context, addr string) (*rpc.Client, error) {
	m.mu.Lock()
	c, ok := m.clients[addr]
	m.mu.Unlock()
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: callTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c = rpc.NewClient(nc)
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.clients[addr]; ok {
		c.Close()
		return old, nil
	}
	m.clients[addr] = c
	return c, nil
}

// dropClient closes a connection and removes it from the open ones.
func (m *Mesh) dropClient(addr string, c *rpc.Client) {
	m.mu.Lock()
	if m.clients[addr] == c {
		delete(m.clients, addr)
	}
	m.mu.Unlock()
	c.Close()
}
