// Package node assembles a node, one process of the serving layer.
package node

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/admsrv"
	"laburnumstack.org/laburnum/internal/trans/claims"
	"laburnumstack.org/laburnum/internal/trans/config"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/engin"
	"laburnumstack.org/laburnum/internal/trans/front"
	"laburnumstack.org/laburnum/internal/trans/leases"
	"laburnumstack.org/laburnum/internal/trans/peer"
	"laburnumstack.org/laburnum/internal/trans/platf"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// ringSize is the number of timeline events that a node keeps.
	ringSize = 20_000
	// claimInterval is the minimum time between two appends of claims.
	claimInterval = 50 * time.Millisecond
)

// Node is one process of the serving layer. Settings and Logger are set before
// Listen and Run.
type Node struct {
	Settings Settings
	Logger   zerolog.Logger

	// boot is the Unix time of the start in nanoseconds; it identifies this run of
	// the node.
	boot           int64
	log            *platf.Log
	vms            *platf.VMs
	engineClient   *engin.Client
	ring           *trace.Ring
	config         *config.Follower
	claims         *claims.Claimer
	reservations   *serve.Reservations
	elector        *leases.Elector
	health         *serve.Health
	strikes        *serve.Strikes
	core           *serve.Core
	mesh           *peer.Mesh
	front          *front.Server
	admin          *admsrv.Server
	ledger         *ledgr.Ledger
	usage          *usageWriter
	registry       *prometheus.Registry
	drainRequested chan struct{}

	listeners listeners
}

// listeners holds the open listeners of a node.
type listeners struct {
	callers, admins, peers net.Listener
}

// Listen opens the listeners. It must be called before Run, CallerAddr, AdminAddr
// and PeerAddr.
func (n *Node) Listen() error {
	lc := net.ListenConfig{Control: conns.SetTCPUserTimeout}
	for _, p := range []struct {
		addr string
		l    *net.Listener
	}{
		{n.Settings.Listen, &n.listeners.callers},
		{n.Settings.Admin, &n.listeners.admins},
		{n.Settings.Peer, &n.listeners.peers},
	} {
		l, err := lc.Listen(context.Background(), "tcp", p.addr)
		if err != nil {
			n.closeListeners()
			return errors.Annotatef(err, "listen on %s", p.addr)
		}
		*p.l = l
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.callers, n.listeners.admins, n.listeners.peers} {
		if l != nil {
			l.Close()
		}
	}
}

// CallerAddr returns the address for callers.
func (n *Node) CallerAddr() string { return n.listeners.callers.Addr().String() }

// AdminAddr returns the address for operators.
func (n *Node) AdminAddr() string { return n.listeners.admins.Addr().String() }

// PeerAddr returns the address for other nodes.
func (n *Node) PeerAddr() string { return n.listeners.peers.Addr().String() }

// Run serves until the context ends or an operator drains the node, then shuts
// down gracefully: it finishes every request that it admitted.
func (n *Node) Run(ctx context.Context) error {
	n.build()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return n.config.Run(runCtx) })
	g.Go(func() error { return n.claims.Run(runCtx) })
	g.Go(func() error { n.reservations.Follow(runCtx); return nil })
	g.Go(func() error { n.reservations.Reap(runCtx); return nil })
	g.Go(func() error { return n.mesh.Run(runCtx, n.listeners.peers) })
	g.Go(func() error { return n.elector.Run(runCtx) })
	g.Go(func() error { n.sendOrders(runCtx); return nil })
	g.Go(func() error { n.pollEndpoints(runCtx); return nil })
	g.Go(func() error { n.pollList(runCtx); return nil })
	g.Go(func() error { n.usage.run(runCtx); return nil })
	g.Go(func() error { return n.front.Run(runCtx, n.listeners.callers) })
	g.Go(func() error { return n.admin.Run(n.listeners.admins) })
	n.Logger.Info().Str("callers", n.CallerAddr()).Str("admins", n.AdminAddr()).
		Str("peers", n.PeerAddr()).Msg("node: serving")
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.drainRequested:
		case <-runCtx.Done():
			return nil
		}
		n.stop(cancel)
		return nil
	})
	return g.Wait()
}

// build creates the components of the node and connects them.
func (n *Node) build() {
	s := n.Settings
	n.boot = time.Now().UnixNano()
	n.drainRequested = make(chan struct{}, 1)
	pools := &conns.Pools{}
	n.log = &platf.Log{Address: s.Log, Pools: pools}
	n.vms = &platf.VMs{Address: s.VMs, Pools: pools}
	n.engineClient = &engin.Client{Pools: pools}
	clock := &trace.Clock{}
	n.ring = trace.NewRing(s.Name, clock, ringSize)
	n.ledger = ledgr.New()
	n.registry = prometheus.NewRegistry()
	n.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	holder := claim.Holder{Node: s.Name, Boot: n.boot}
	n.buildMesh(clock)
	n.config = &config.Follower{Log: n.log, Ring: n.ring, Logger: n.Logger, SnapshotEvery: s.SnapshotEvery, OnNewVersion: n.applyConfig}
	n.config.Init()
	n.claims = &claims.Claimer{Log: n.log, Holder: holder, Interval: claimInterval, Logger: n.Logger}
	n.claims.Init()
	n.health = &serve.Health{Engine: n.engineClient, Ring: n.ring}
	n.strikes = serve.NewStrikes(s.Name, n.mesh.AnnounceStrikes, n.mesh.AnnounceProof, n.mesh.AnnounceTrial)
	n.reservations = &serve.Reservations{Log: n.log, Engine: n.engineClient, Holder: holder, Ring: n.ring, Logger: n.Logger, Alive: n.mesh.Alive}
	n.reservations.Init()
	n.elector = &leases.Elector{Log: n.log, Holder: holder, Length: leaseLength, Ring: n.ring, Logger: n.Logger}
	n.usage = &usageWriter{log: n.log, ledger: n.ledger, node: s.Name, runID: ident.NewID(), logger: n.Logger}
	n.core = &serve.Core{
		Engine: n.engineClient, Pools: pools, Policy: route.ByEstimate{}, Claims: n.claims,
		Strikes: n.strikes, Health: n.health, Reservations: n.reservations, Ring: n.ring,
		Ledger: n.ledger, Logger: n.Logger, Metrics: serve.NewMetrics(n.registry),
		Alive: n.mesh.Alive, Rank: n.mesh.Rank, LogRetention: s.LogRetention,
	}
	n.log.OnAppend = n.core.Metrics.Appends.Inc
	n.core.Seed(uint64(n.boot))
	n.reservations.Table = n.core.Table
	n.front = &front.Server{Core: n.core, Node: s.Name, Logger: n.Logger, HasConfig: n.config.Ready}
	n.front.Init()
	n.admin = &admsrv.Server{
		Token: s.AdminToken, Config: n.config, Ring: n.ring, Logger: n.Logger,
		Table: n.core.Table, Members: n.members, Usage: n.usage.totals,
		Drain: n.requestDrain, IsReady: n.front.IsReady, Gatherer: n.registry,
	}
	n.admin.Init()
}

func (n *Node) buildMesh(clock *trace.Clock) {
	n.mesh = &peer.Mesh{
		Self: n.self, Seeds: n.Settings.Peers, Clock: clock, Ring: n.ring, Logger: n.Logger,
		FillHeartbeat: n.fillHeartbeat, ApplyHeartbeat: n.applyHeartbeat,
		ConfigReply:  func() messg.ConfigReply { return n.config.ConfigReply() },
		ApplyConfig:  func(r messg.ConfigReply) { n.config.Restore(r.Snapshot) },
		MergeStrikes: func(ss []strik.Strike) { n.strikes.Merge(ss) },
		MergeProofs:  func(ps []strik.Proof) { n.strikes.MergeProofs(ps) },
		MergeTrials:  func(ts []strik.Trial) { n.strikes.MergeTrials(ts) },
	}
	n.mesh.Init()
}

func (n *Node) requestDrain() {
	select {
	case n.drainRequested <- struct{}{}:
	default:
	}
}

// applyConfig compiles a new configuration version and puts it in force.
func (n *Node) applyConfig(v ident.Version, d *confg.Document) {
	n.core.SetTable(table.New(v, d, n.core.Table()))
	n.core.Metrics.Version.Set(float64(v))
}

// self describes this node as a member of the fleet.
func (n *Node) self() membr.Member {
	v, _ := n.config.Current()
	return membr.Member{
		Name: n.Settings.Name, Boot: n.boot,
		Peer: n.PeerAddr(), Admin: n.AdminAddr(), Caller: n.CallerAddr(),
		DataCentre: n.Settings.DataCentre, Version: v, Leaving: n.front.Draining(),
	}
}

// members returns the nodes that this node knows of, itself first.
func (n *Node) members() []admin.Member {
	s := n.self()
	state := membr.Alive
	if s.Leaving {
		state = membr.Leaving
	}
	own := admin.Member{Member: s, State: state, Heard: time.Now()}
	return append([]admin.Member{own}, n.mesh.Members()...)
}

func (n *Node) fillHeartbeat(h *messg.Heartbeat) {
	h.Uses = n.core.Tally.Own()
	h.Strikes = n.strikes.Recent(time.Now().Add(-strikeWindow))
	h.Parts = n.strikes.PartStates()
	h.Suspects = map[ident.EndpointName]int64{}
	if t := n.core.Table(); t != nil {
		for name, e := range t.Endpoints {
			if c := e.Suspects.Load(); c > 0 {
				h.Suspects[name] = c
			}
		}
	}
}

// strikeWindow is how long after a crash heartbeats repeat its strikes, for peers
// that missed them.
const strikeWindow = 10 * time.Second

func (n *Node) applyHeartbeat(h messg.Heartbeat) {
	n.core.Tally.SetPeer(h.From.Name, h.Uses)
	n.strikes.Merge(h.Strikes)
	n.strikes.MergeParts(h.Parts)
	n.strikes.SetSuspects(h.From.Name, h.Suspects)
	if t := n.core.Table(); t != nil {
		sum := n.strikes.Suspects()
		for name, e := range t.Endpoints {
			e.PeerSuspects.Store(sum[name])
		}
	}
}
