package fleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/internal/lab/vmlist"
	"laburnumstack.org/laburnum/internal/lab/weight"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	listenAddress = "127.0.0.1:0"
	// retention is how long the log retains records.
	retention = time.Hour
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
