package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/internal/lab/vmlist"
	"laburnumstack.org/laburnum/internal/lab/weight"
	"laburnumstack.org/laburnum/internal/node"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	listenAddress = "127.0.0.1:0"
	// appendRate is the maximum number of appends per second that the log
	// accepts.
	appendRate = 400
	// retention is how long the log retains records.
	retention = time.Hour
	// vmListLag is the time until a change of the VM list is visible.
	vmListLag = 2 * time.Second
	// loadReportLag is the age of the load that the engines report.
	loadReportLag = 200 * time.Millisecond
	// cacheEventLossPercent is the percentage of cache events that the engines
	// lose.
	cacheEventLossPercent = 5
	// adminTimeout bounds each call of a node's admin API.
	adminTimeout = 10 * time.Second
	// configTimeout bounds the wait for a version to be in force at all nodes.
	configTimeout = 10 * time.Second
	// serviceTime is the time that a plain service takes for a request.
	serviceTime = 3 * time.Millisecond
)

// Fleet is an example fleet. The fields up to EngineSettings are set before
// Start, the others by it.
type Fleet struct {
	Plan Plan
	// Seed is the seed of the random choice of cache events that engines lose.
	Seed uint64
	// Logger is the logger of the nodes.
	Logger zerolog.Logger
	// DrainDelay is how long a node continues to accept requests after its
	// graceful shutdown has begun.
	DrainDelay time.Duration
	// PoisonText is a text that crashes an engine if a prompt contains it.
	PoisonText string
	// EngineSettings replaces the default settings of the engines if it is not
	// nil.
	EngineSettings *engsim.Settings

	// AdminToken is the token for the nodes' admin API.
	AdminToken  string
	Log         *logsrv.Server
	VMs         *vmlist.Server
	WeightStore *weight.Server
	Engines     []*engsrv.Server
	Services    []*plain.Server
	// Runs counts the bookings that ran at any of the services.
	Runs *plain.RunCounter
	// RunsServer serves the counts of Runs over HTTP.
	RunsServer *plain.Server
	Nodes      []*Node

	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// Node is a node of the fleet. It can be stopped and started again.
type Node struct {
	fleet *Fleet
	index int

	// mu guards the fields below.
	mu   sync.Mutex
	node *node.Node
	// stop begins the node's graceful shutdown. It is nil before Start and after
	// Stop.
	stop context.CancelFunc
	// done receives the result of node.Run.
	done chan error
}

// Start starts the stand-ins and the nodes, applies the fleet's configuration
// and waits until it is in force at all nodes. The nodes run until Stop, the
// stand-ins until Stop or the end of ctx. If Start fails, Stop stops what was
// started.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx, f.stop = context.WithCancel(ctx)
	f.group, f.ctx = errgroup.WithContext(f.ctx)
	f.AdminToken = "operators-" + ident.NewID()
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	for i := range f.Plan.Nodes {
		n := &Node{fleet: f, index: i}
		f.Nodes = append(f.Nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return f.configure()
}

// Stop stops the nodes gracefully, then the stand-ins.
func (f *Fleet) Stop() error {
	var g errgroup.Group
	for _, n := range f.Nodes {
		g.Go(n.Stop)
	}
	err := g.Wait()
	f.stop()
	if serr := f.group.Wait(); err == nil {
		err = serr
	}
	return err
}

// standIn is a server that stands in for a part of the platform, an engine or a
// plain service.
type standIn interface {
	Listen() error
	Run(context.Context) error
}

func (f *Fleet) runStandIn(s standIn) error {
	if err := s.Listen(); err != nil {
		return errors.Trace(err)
	}
	f.group.Go(func() error { return s.Run(f.ctx) })
	return nil
}

func (f *Fleet) startPlatform() error {
	f.Log = &logsrv.Server{Address: listenAddress, AppendRate: appendRate, Retention: retention}
	f.VMs = &vmlist.Server{Address: listenAddress, Lag: vmListLag}
	f.WeightStore = &weight.Server{Address: listenAddress, Interval: time.Second}
	for _, s := range []standIn{f.Log, f.VMs, f.WeightStore} {
		if err := f.runStandIn(s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEndpoints() error {
	settings := engsim.DefaultSettings()
	if f.EngineSettings != nil {
		settings = *f.EngineSettings
	}
	for i := range f.Plan.Engines {
		e := &engsrv.Server{
			Address: listenAddress, EngineSettings: settings, Models: []ident.ModelName{f.Plan.Model},
			ChecksOrders: i%2 == 0, Lag: loadReportLag, EventLossPercent: cacheEventLossPercent,
			WeightStore: f.WeightStore.Address, Seed: f.Seed + uint64(i), PoisonText: f.PoisonText,
		}
		if err := f.runStandIn(e); err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.setVM(string(f.Plan.EngineName(i)), e.Address, i, false)
	}
	f.Runs = plain.NewRunCounter()
	for i := range f.Plan.Services {
		s := &plain.Server{Address: listenAddress, ServiceTime: serviceTime, Runs: f.Runs}
		if err := f.runStandIn(s); err != nil {
			return err
		}
		f.Services = append(f.Services, s)
		f.setVM(string(f.Plan.ServiceName(i)), s.Address, i, false)
	}
	f.RunsServer = &plain.Server{Address: listenAddress, Runs: f.Runs, OnlyRuns: true}
	return f.runStandIn(f.RunsServer)
}

func (f *Fleet) setVM(name, address string, i int, leaving bool) {
	f.VMs.Set(vmlist.VM{Name: name, Address: address, DataCentre: f.Plan.DataCentre(i), Role: "Endpoint", Leaving: leaving})
}

// MarkLeaving marks an engine as leaving. The engine rejects new requests at once
// and reports that it is leaving after loadReportLag; the VM list shows it after
// vmListLag.
func (f *Fleet) MarkLeaving(i int) {
	f.Engines[i].SetLeaving(true)
	f.setVM(string(f.Plan.EngineName(i)), f.Engines[i].Address, i, true)
}

// configure submits the fleet's configuration as a patch, as an operator does.
func (f *Fleet) configure() error {
	var engineAddrs, serviceAddrs []string
	for _, e := range f.Engines {
		engineAddrs = append(engineAddrs, e.Address)
	}
	for _, s := range f.Services {
		serviceAddrs = append(serviceAddrs, s.Address)
	}
	merge, err := json.Marshal(f.Plan.Document(engineAddrs, serviceAddrs, f.Engines[0].EngineSettings.Memory))
	if err != nil {
		return errors.Trace(err)
	}
	verdict, err := f.Patch(merge, 0)
	if err != nil {
		return errors.Annotate(err, "submit the configuration")
	}
	if verdict.Result != admin.Accepted {
		return errors.Errorf("configuration patch is %s: %s", verdict.Result, verdict.Problems)
	}
	return f.AwaitVersion(verdict.Version)
}

// Patch submits a merge patch on a base version to the first node.
func (f *Fleet) Patch(merge json.RawMessage, base ident.Version) (admin.Verdict, error) {
	c := f.Client(0)
	return c.Patch(admin.PatchRequest{ID: ident.PatchID(ident.NewID()), Base: base, Author: "lab", Merge: merge})
}

// Client returns a client of the i-th node's admin API.
func (f *Fleet) Client(i int) *admin.Client {
	return &admin.Client{Address: f.Nodes[i].AdminAddr(), Token: f.AdminToken, Timeout: adminTimeout}
}

// AwaitVersion waits until the version, or a later one, is in force at all nodes.
// It fails if that takes longer than configTimeout.
func (f *Fleet) AwaitVersion(v ident.Version) error {
	end := time.Now().Add(configTimeout)
	for i := range f.Nodes {
		for {
			c, err := f.Client(i).Config()
			if err == nil && c.Version >= v {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("node %d has not put version %d into force: %v", i, v, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// CallerAddrs returns the addresses of the nodes for callers.
func (f *Fleet) CallerAddrs() []string {
	var addrs []string
	for _, n := range f.Nodes {
		addrs = append(addrs, n.CallerAddr())
	}
	return addrs
}

// AdminAddrs returns the addresses of the nodes for operators.
func (f *Fleet) AdminAddrs() []string {
	var addrs []string
	for _, n := range f.Nodes {
		addrs = append(addrs, n.AdminAddr())
	}
	return addrs
}

// Start starts the node on new ports and adds it to the VM list, where it
// replaces the entry from before a restart.
func (n *Node) Start() error {
	f := n.fleet
	name := ident.NodeName(fmt.Sprintf("%s-%d", f.Plan.DataCentre(n.index), n.index+1))
	started := &node.Node{
		Logger: f.Logger.With().Str("node", string(name)).Logger(),
		Settings: node.Settings{
			Name: name, DataCentre: f.Plan.DataCentre(n.index),
			Listen: listenAddress, Admin: listenAddress, Peer: listenAddress,
			Log: f.Log.Address, VMs: f.VMs.Address, AdminToken: f.AdminToken,
			LogRetention: retention, SnapshotEvery: time.Minute, DrainDelay: f.DrainDelay,
			Peers: f.peerAddrs(),
		},
	}
	if err := started.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	n.mu.Lock()
	n.node, n.stop, n.done = started, cancel, done
	n.mu.Unlock()
	go func() { done <- started.Run(ctx) }()
	f.VMs.Set(vmlist.VM{Name: string(name), Address: started.PeerAddr(), DataCentre: f.Plan.DataCentre(n.index), Role: "Node"})
	return nil
}

func (f *Fleet) peerAddrs() []string {
	var addrs []string
	for _, n := range f.Nodes {
		if a := n.peerAddr(); a != "" {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// Stop stops the node gracefully and waits until it has ended.
func (n *Node) Stop() error {
	n.mu.Lock()
	stop, done := n.stop, n.done
	n.stop = nil
	n.mu.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	return <-done
}

func (n *Node) currentNode() *node.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node
}

func (n *Node) peerAddr() string {
	if current := n.currentNode(); current != nil {
		return current.PeerAddr()
	}
	return ""
}

// CallerAddr returns the node's address for callers.
func (n *Node) CallerAddr() string { return n.currentNode().CallerAddr() }

// AdminAddr returns the node's address for operators.
func (n *Node) AdminAddr() string { return n.currentNode().AdminAddr() }
