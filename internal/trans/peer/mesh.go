// Package peer carries heartbeats, strikes and configurations between nodes
// over net/rpc. Strikes record endpoint crashes, see package strik.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
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
	// MergeTrials records trials that a peer has begun or ended.
	MergeTrials func([]strik.Trial)

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
