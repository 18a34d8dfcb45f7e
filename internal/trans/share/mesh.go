// Package share connects the nodes with each other over net/rpc. Each node
// announces which requests it sends to which endpoints, which endpoints it can't
// reach, and which strikes it records, to its peers directly or through hubs.
// Nodes that don't read the platform's store, or can't reach it, fetch the
// configuration and the endpoint list, or what changed in them, from their peers.
// Nodes also announce the limits that endpoints name, and request permits from each other
// to send to such endpoints.
package share

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// heartbeatInterval is the longest pause between two updates to a peer.
	heartbeatInterval = time.Second
	// unwatchedHeartbeatInterval is the longest pause between two updates to
	// a peer that is not watched closely, see peer.watched.
	unwatchedHeartbeatInterval = 10 * time.Second
	// batchDelay is how long a woken sender waits to put further changes into
	// the same update.
	batchDelay = 4 * time.Millisecond
	// nonUrgentDelay is how long non-urgent changes wait, if hubs are in use, so
	// that one update carries several.
	nonUrgentDelay = 40 * time.Millisecond
	// watchedAliveTimeout and unwatchedAliveTimeout are how long a node may be
	// silent and still count as alive, so that it can be a reader or a hub: the
	// first for nodes that are watched closely, the second for the others.
	watchedAliveTimeout   = 1500 * time.Millisecond
	unwatchedAliveTimeout = 25 * time.Second
	// deadAfter is the silence after which a node counts as dead if it is
	// watched closely or if there is no connection to it. Other nodes count as
	// dead after unwatchedAliveTimeout.
	deadAfter = 3 * time.Second
	// forgetAfter is the silence after which a node is removed and no longer
	// dialled.
	forgetAfter = time.Minute
	// callTimeout bounds the call that sends an update.
	callTimeout = 700 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// minRedialPause is the pause after a connection fails. It doubles up to
	// maxRedialPause while the peer is silent for deadAfter or longer.
	minRedialPause = 200 * time.Millisecond
	maxRedialPause = 2 * time.Second
	// maxFirstLinks is the number of peers to which a node connects before it knows how large
	// the fleet is.
	maxFirstLinks = 8
	// neededTime is how long a connection to a peer that isn't linked is kept after a call.
	neededTime = 5 * time.Second
)

// Mesh holds the connections to the other nodes. The exported fields must be set
// before the first call of AddPeer or Run.
type Mesh struct {
	Self     relay.Member
	InFlight *works.Table
	Logger   zerolog.Logger
	// HubThreshold is the smallest number of nodes with which hubs are used: a
	// node then sends its updates to one hub only, which forwards them. Zero
	// means that hubs are never used.
	HubThreshold int
	// State returns this node's copy of the configuration and of the endpoint
	// list, for a peer that requests it.
	State func(relay.StateArgs) relay.State
	// Change returns a part of an encoded change of the configuration, for a peer
	// that requests it.
	Change func(relay.ChangeArgs) relay.ChangePart
	// Permit takes a request to an endpoint out of this node's share of the endpoint's
	// limit, for a peer.
	Permit func(quota.Key) relay.Permit
	// Limits returns the limits of endpoints that this node knows, for a new peer.
	Limits func() []quota.Limit
	// Status reports whether this node has lost its links to the endpoints, and whether
	// it is stopping.
	Status func() (isolated, leaving bool)
	// ServeTunnel serves a tunnel of a peer; if it is nil, there are none.
	ServeTunnel func(context.Context, net.Conn, *bufio.Reader)
	// PartStates returns the parts of requests that have or recently had strikes, as this node
	// knows them, for a new peer.
	PartStates func() []strik.PartState
	// Availability returns what endpoints stated to all nodes about whether they accept
	// requests, and Rests what they stated to one, for a new peer. OnAvailability and
	// OnRests are called with what a peer knows of that.
	Availability   func() []avail.State
	Rests          func() []avail.Rest
	OnAvailability func([]avail.State)
	OnRests        func([]avail.Rest)
	// OnDecisions is called with the decisions of a peer on prompts.
	OnDecisions func([]bysize.Decision)
	// OnOrphans, if it is set, is called with the engines at which a peer looked for
	// orphaned requests.
	OnOrphans func([]relay.Orphans)
	// OnFailed is called with the endpoints that a peer could not reach, OnBroke with those
	// that live, but broke the connection of a peer's request, OnStruck
	// with the strikes that a peer recorded, OnProofs and OnPartStates with the parts of
	// prompts that a peer cleared or suspects, and OnLimits with the limits of endpoints
	// that a peer knows.
	OnFailed     func([]ident.EndpointName)
	OnBroke      func([]ident.EndpointName)
	OnStruck     func([]strik.Strike)
	OnLimits     func([]quota.Limit)
	OnProofs     func([]strik.Proof)
	OnPartStates func([]strik.PartState)
	// OnTrials is called with the trials of barred parts that a peer has begun or ended.
	OnTrials func([]strik.Trial)

	// isHub is set if this node is a hub, delaysNonUrgent if hubs are in use.
	isHub, delaysNonUrgent atomic.Bool

	// seq is the number of the last change of this node's requests in flight.
	seq atomic.Uint64
	// numbering is held while a change is numbered and queued, so that an update holds all
	// changes up to its number.
	numbering sync.Mutex

	// applying is held while requests of an update are compared with those known and applied:
	// updates of a node may arrive over several connections at once.
	applying sync.Mutex

	ctx context.Context
	mu  sync.Mutex
	// unforwarded are updates to forward when this node becomes a hub.
	unforwarded []heldUpdate
	peers       map[string]*peer
	// entries holds the nodes whose updates reach this node's data centre here.
	entries ident.Set[ident.NodeName]

	// planning is held while roles are chosen.
	planning sync.Mutex
	// digestAt is when Sweep last sent what this node heard of all members.
	digestAt time.Time
	fanout   fanout
	stats    stats
}

// Init initializes the mesh. It must be called once, before any other method.
func (m *Mesh) Init(ctx context.Context) {
	m.ctx = ctx
	m.peers = map[string]*peer{}
	m.entries = ident.Set[ident.NodeName]{}
	// Numbers of a restarted node are higher than those of before.
	m.seq.Store(uint64(time.Now().UnixNano()))
	m.fanout.setSender = func(u *relay.Update) { u.From = m.self() }
	m.fanout.delay, m.fanout.sent = m.groupDelay, m.stats.frameSent
}

// AddPeer starts exchanging updates with the node at an address. It does nothing
// for known peers and for this node's own address. This node connects to the first peers
// at once; replan decides whether it connects to the others.
func (m *Mesh) AddPeer(address string) {
	if address == m.Self.Address || address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	now := time.Now()
	first := m.HubThreshold == 0 || len(m.peers) < maxFirstLinks
	p := &peer{
		mesh: m, address: address, Member: relay.Member{Address: address}, wake: make(chan struct{}, 1), lastSeen: now, linkedAt: now,
		role: role{linked: first, direct: first, watched: true},
	}
	m.peers[address] = p
	if first {
		p.start()
	}
}

func (m *Mesh) allPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	ps := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		ps = append(ps, p)
	}
	return ps
}

func (m *Mesh) forget(p *peer, err error) {
	m.mu.Lock()
	delete(m.peers, p.address)
	m.mu.Unlock()
	name := p.name()
	m.setEntry(name, false)
	m.Logger.Info().Str("peer", string(name)).Str("address", p.address).Err(err).Msg("share: removed a silent node")
}

// Sweep chooses the hubs and drops the requests of dead nodes. It must be called
// at intervals well below watchedAliveTimeout, so that dead hubs are replaced soon.
func (m *Mesh) Sweep(now time.Time) {
	m.findLost(now)
	m.replan(now)
	m.sendDigest(now)
	for _, p := range m.allPeers() {
		p.mu.Lock()
		silent := now.Sub(p.lastSeen)
		unreachable := p.lost || p.linked && p.client == nil
		dead := p.Name != "" && (silent > unwatchedAliveTimeout || silent > deadAfter && (p.linked && p.watched || unreachable))
		name, forgotten := p.Name, silent > forgetAfter && !p.running
		p.mu.Unlock()
		if dead {
			m.InFlight.RemoveNode(name)
		}
		if forgotten {
			m.forget(p, nil)
		}
	}
}

// ConnectedAddresses returns the addresses of the peers that this node is
// connected to.
func (m *Mesh) ConnectedAddresses() []string {
	var addrs []string
	for _, p := range m.allPeers() {
		p.mu.Lock()
		if p.client != nil {
			addrs = append(addrs, p.address)
		}
		p.mu.Unlock()
	}
	return addrs
}
