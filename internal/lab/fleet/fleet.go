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
	// appendRate is the log's bound on appends a second.
	appendRate            = 400
	retention             = time.Hour
	vmListLag             = 2 * time.Second
	loadReportLag         = 200 * time.Millisecond
	cacheEventLossPercent = 5
	adminTimeout          = 10 * time.Second
	configTimeout         = 10 * time.Second
	serviceTime           = 3 * time.Millisecond
)

// Fleet is a running example fleet. Its exported fields are set before Start.
type Fleet struct {
	Plan   Plan
	Seed   uint64
	Logger zerolog.Logger
	// DrainDelay is how long a node keeps accepting in a planned stop.
	DrainDelay time.Duration
	// PoisonMark crashes each engine whose prompt contains it.
	PoisonMark string
	// EngineSettings changes the engines' settings; nil keeps the defaults.
	EngineSettings *engsim.Settings

	AdminToken  string
	Log         *logsrv.Server
	VMs         *vmlist.Server
	WeightStore *weight.Server
	Engines     []*engsrv.Server
	Services    []*plain.Server
	Runs        *plain.RunCounter
	RunsServer  *plain.Server
	Nodes       []*Node

	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// Node is one node of the fleet, which can be stopped and started again.
type Node struct {
	fleet *Fleet
	index int

	mu   sync.Mutex
	node *node.Node
	stop context.CancelFunc
	done chan error
}

// Start starts everything and puts the fleet's configuration in force.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx, f.stop = context.WithCancel(ctx)
	f.group, f.ctx = errgroup.WithContext(f.ctx)
	f.AdminToken = "operators-" + ident.New()
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	for i := range f.Plan.Nodes {
		m := &Node{fleet: f, index: i}
		f.Nodes = append(f.Nodes, m)
		if err := m.Start(); err != nil {
			return err
		}
	}
	return f.configure()
}

// Stop stops the nodes as planned, then the stand-ins.
func (f *Fleet) Stop() error {
	var g errgroup.Group
	for _, m := range f.Nodes {
		g.Go(m.Stop)
	}
	err := g.Wait()
	f.stop()
	if serr := f.group.Wait(); err == nil {
		err = serr
	}
	return err
}

// standIn is a stand-in.
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
			Address: listenAddress, Sim: settings, Models: []ident.ModelName{f.Plan.Model},
			ChecksOrders: i%2 == 0, Lag: loadReportLag, GapPercent: cacheEventLossPercent,
			WeightStore: f.WeightStore.Address, Seed: f.Seed + uint64(i), PoisonMark: f.PoisonMark,
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

func (f *Fleet) setVM(name, addr string, i int, leaving bool) {
	f.VMs.Set(vmlist.VM{Name: name, Address: addr, DataCentre: f.Plan.DataCentre(i), Role: "Endpoint", Leaving: leaving})
}

// MarkLeaving makes an engine leave: it says so itself at once, and the VM list
// says so after its lag.
func (f *Fleet) MarkLeaving(i int) {
	f.Engines[i].SetLeaving(true)
	f.setVM(string(f.Plan.EngineName(i)), f.Engines[i].Address, i, true)
}

// configure applies the fleet's configuration as an operator would.
func (f *Fleet) configure() error {
	var engineAddrs, serviceAddrs []string
	for _, e := range f.Engines {
		engineAddrs = append(engineAddrs, e.Address)
	}
	for _, s := range f.Services {
		serviceAddrs = append(serviceAddrs, s.Address)
	}
	merge, err := json.Marshal(f.Plan.Document(engineAddrs, serviceAddrs, f.Engines[0].Sim.Memory))
	if err != nil {
		return errors.Trace(err)
	}
	verdict, err := f.Patch(merge, 0)
	if err != nil {
		return errors.Annotate(err, "configure")
	}
	if verdict.Result != admin.Accepted {
		return errors.Errorf("configuration is %s: %s", verdict.Result, verdict.Problems)
	}
	return f.AwaitVersion(verdict.Version)
}

// Patch submits a patch to the first node that is up.
func (f *Fleet) Patch(merge json.RawMessage, base ident.Version) (admin.Verdict, error) {
	c := f.Client(0)
	return c.Patch(admin.PatchRequest{ID: ident.PatchID(ident.New()), Base: base, Author: "lab", Merge: merge})
}

// Client returns a client of a node's administration interface.
func (f *Fleet) Client(i int) *admin.Client {
	return &admin.Client{Address: f.Nodes[i].AdminAddr(), Token: f.AdminToken, Timeout: adminTimeout}
}

// AwaitVersion waits until all nodes have a version in force.
func (f *Fleet) AwaitVersion(v ident.Version) error {
	end := time.Now().Add(configTimeout)
	for i := range f.Nodes {
		for {
			c, err := f.Client(i).Config()
			if err == nil && c.Version >= v {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("node %d has not version %d in force: %v", i, v, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// CallerAddrs returns the addresses of the nodes for callers.
func (f *Fleet) CallerAddrs() []string {
	var addrs []string
	for _, m := range f.Nodes {
		addrs = append(addrs, m.CallerAddr())
	}
	return addrs
}

// AdminAddrs returns the addresses of the nodes for operators.
func (f *Fleet) AdminAddrs() []string {
	var addrs []string
	for _, m := range f.Nodes {
		addrs = append(addrs, m.AdminAddr())
	}
	return addrs
}

// Start starts the node on new ports.
func (m *Node) Start() error {
	f := m.fleet
	name := ident.NodeName(fmt.Sprintf("%s-%d", f.Plan.DataCentre(m.index), m.index+1))
	n := &node.Node{
		Logger: f.Logger.With().Str("node", string(name)).Logger(),
		Settings: node.Settings{
			Name: name, DataCentre: f.Plan.DataCentre(m.index),
			Listen: listenAddress, Admin: listenAddress, Peer: listenAddress,
			Log: f.Log.Address, VMs: f.VMs.Address, AdminToken: f.AdminToken,
			LogRetention: retention, SnapshotEvery: time.Minute, DrainDelay: f.DrainDelay,
			Peers: f.peerAddrs(),
		},
	}
	if err := n.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	m.mu.Lock()
	m.node, m.stop, m.done = n, cancel, done
	m.mu.Unlock()
	go func() { done <- n.Run(ctx) }()
	f.VMs.Set(vmlist.VM{Name: string(name), Address: n.PeerAddr(), DataCentre: f.Plan.DataCentre(m.index), Role: "Node"})
	return nil
}

func (f *Fleet) peerAddrs() []string {
	var addrs []string
	for _, m := range f.Nodes {
		if a := m.peerAddr(); a != "" {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// Stop stops the node as planned and waits for its end.
func (m *Node) Stop() error {
	m.mu.Lock()
	stop, done := m.stop, m.done
	m.stop = nil
	m.mu.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	return <-done
}

func (m *Node) currentNode() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

func (m *Node) peerAddr() string {
	if n := m.currentNode(); n != nil {
		return n.PeerAddr()
	}
	return ""
}

// CallerAddr returns the node's address for callers.
func (m *Node) CallerAddr() string { return m.currentNode().CallerAddr() }

// AdminAddr returns the node's address for operators.
func (m *Node) AdminAddr() string { return m.currentNode().AdminAddr() }
