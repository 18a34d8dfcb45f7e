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
	loopback = "127.0.0.1:0"
	// appendRate is the log's bound on appends a second.
	appendRate = 400
	retention  = time.Hour
	listLag    = 2 * time.Second
	loadLag    = 200 * time.Millisecond
	gapPercent = 5
	callTime   = 10 * time.Second
	readyTime  = 10 * time.Second
	workTime   = 3 * time.Millisecond
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
	// Sim changes the engines' settings; nil keeps the defaults.
	Sim *engsim.Settings

	Token    string
	Log      *logsrv.Server
	VMs      *vmlist.Server
	Weights  *weight.Server
	Engines  []*engsrv.Server
	Services []*plain.Server
	Runs     *plain.Runs
	RunsPage *plain.Server
	Nodes    []*Member

	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// Member is one node of the fleet, which can be stopped and started again.
type Member struct {
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
	f.Token = "operators-" + ident.New()
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	for i := range f.Plan.Nodes {
		m := &Member{fleet: f, index: i}
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

// service is a stand-in.
type service interface {
	Listen() error
	Run(context.Context) error
}

func (f *Fleet) run(s service) error {
	if err := s.Listen(); err != nil {
		return errors.Trace(err)
	}
	f.group.Go(func() error { return s.Run(f.ctx) })
	return nil
}

func (f *Fleet) startPlatform() error {
	f.Log = &logsrv.Server{Address: loopback, AppendRate: appendRate, Retention: retention}
	f.VMs = &vmlist.Server{Address: loopback, Lag: listLag}
	f.Weights = &weight.Server{Address: loopback, Interval: time.Second}
	for _, s := range []service{f.Log, f.VMs, f.Weights} {
		if err := f.run(s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEndpoints() error {
	sim := engsim.DefaultSettings()
	if f.Sim != nil {
		sim = *f.Sim
	}
	for i := range f.Plan.Engines {
		e := &engsrv.Server{
			Address: loopback, Sim: sim, Models: []ident.ModelName{f.Plan.Model},
			ChecksOrders: i%2 == 0, Lag: loadLag, GapPercent: gapPercent,
			WeightStore: f.Weights.Address, Seed: f.Seed + uint64(i), PoisonMark: f.PoisonMark,
		}
		if err := f.run(e); err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.list(string(f.Plan.EngineName(i)), e.Address, i, false)
	}
	f.Runs = plain.NewRuns()
	for i := range f.Plan.Services {
		s := &plain.Server{Address: loopback, Work: workTime, Runs: f.Runs}
		if err := f.run(s); err != nil {
			return err
		}
		f.Services = append(f.Services, s)
		f.list(string(f.Plan.ServiceName(i)), s.Address, i, false)
	}
	f.RunsPage = &plain.Server{Address: loopback, Runs: f.Runs, OnlyRuns: true}
	return f.run(f.RunsPage)
}

func (f *Fleet) list(name, addr string, i int, leaving bool) {
	f.VMs.Set(vmlist.VM{Name: name, Address: addr, DataCentre: f.Plan.Centre(i), Role: "Endpoint", Leaving: leaving})
}

// Leave makes an engine leave: it says so itself at once, and the VM list
// says so after its lag.
func (f *Fleet) Leave(i int) {
	f.Engines[i].SetLeaving(true)
	f.list(string(f.Plan.EngineName(i)), f.Engines[i].Address, i, true)
}

// configure applies the fleet's configuration as an operator would.
func (f *Fleet) configure() error {
	var es, ss []string
	for _, e := range f.Engines {
		es = append(es, e.Address)
	}
	for _, s := range f.Services {
		ss = append(ss, s.Address)
	}
	merge, err := json.Marshal(f.Plan.Document(es, ss, f.Engines[0].Sim.Memory))
	if err != nil {
		return errors.Trace(err)
	}
	v, err := f.Patch(merge, 0)
	if err != nil {
		return errors.Annotate(err, "configure")
	}
	if v.Result != admin.Accepted {
		return errors.Errorf("configuration is %s: %s", v.Result, v.Problems)
	}
	return f.AwaitVersion(v.Version)
}

// Patch submits a patch to the first node that is up.
func (f *Fleet) Patch(merge json.RawMessage, base ident.Version) (admin.Verdict, error) {
	c := f.Client(0)
	return c.Patch(admin.PatchRequest{ID: ident.PatchID(ident.New()), Base: base, Author: "lab", Merge: merge})
}

// Client returns a client of a node's administration interface.
func (f *Fleet) Client(i int) *admin.Client {
	return &admin.Client{Address: f.Nodes[i].AdminAddr(), Token: f.Token, Timeout: callTime}
}

// AwaitVersion waits until all nodes have a version in force.
func (f *Fleet) AwaitVersion(v ident.Version) error {
	end := time.Now().Add(readyTime)
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

// Callers returns the addresses of the nodes for callers.
func (f *Fleet) Callers() []string {
	var as []string
	for _, m := range f.Nodes {
		as = append(as, m.CallerAddr())
	}
	return as
}

// Admins returns the addresses of the nodes for operators.
func (f *Fleet) Admins() []string {
	var as []string
	for _, m := range f.Nodes {
		as = append(as, m.AdminAddr())
	}
	return as
}

// Start starts the node on new ports.
func (m *Member) Start() error {
	f := m.fleet
	name := ident.NodeName(fmt.Sprintf("%s-%d", f.Plan.Centre(m.index), m.index+1))
	n := &node.Node{
		Logger: f.Logger.With().Str("node", string(name)).Logger(),
		Settings: node.Settings{
			Name: name, DataCentre: f.Plan.Centre(m.index),
			Listen: loopback, Admin: loopback, Peer: loopback,
			Log: f.Log.Address, VMs: f.VMs.Address, AdminToken: f.Token,
			LogRetention: retention, SnapshotEvery: time.Minute, DrainDelay: f.DrainDelay,
			Peers: f.peers(),
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
	f.VMs.Set(vmlist.VM{Name: string(name), Address: n.PeerAddr(), DataCentre: f.Plan.Centre(m.index), Role: "Node"})
	return nil
}

func (f *Fleet) peers() []string {
	var as []string
	for _, m := range f.Nodes {
		if a := m.peerAddr(); a != "" {
			as = append(as, a)
		}
	}
	return as
}

// Stop stops the node as planned and waits for its end.
func (m *Member) Stop() error {
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

func (m *Member) current() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

func (m *Member) peerAddr() string {
	if n := m.current(); n != nil {
		return n.PeerAddr()
	}
	return ""
}

// CallerAddr returns the node's address for callers.
func (m *Member) CallerAddr() string { return m.current().CallerAddr() }

// AdminAddr returns the node's address for operators.
func (m *Member) AdminAddr() string { return m.current().AdminAddr() }
