// Package serve carries requests to endpoints: it asks the coordination layer
// what to do and does it.
package serve

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/tally"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/claims"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Core serves requests. Its exported fields are set before use.
type Core struct {
	Engine  messg.Engine
	Pools   *conns.Pools
	Policy  route.Policy
	Keeper  *claims.Keeper
	Strikes *Strikes
	Health  *Health
	Holds   *Holds
	Ring    *trace.Ring
	Ledger  *ledgr.Ledger
	Logger  zerolog.Logger
	Metrics *Metrics
	// Alive reports whether a run of another node is alive.
	Alive func(n ident.NodeName, boot int64) bool
	// Rank returns this node's place among the nodes alive, and their number.
	Rank func() (i, n int)
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration

	Tally  tally.Tally
	Hints  table.Hints
	Budget retry.Budget

	table  atomic.Pointer[table.Table]
	lanes  lanes
	busy   atomic.Pointer[busy]
	random sync.Pool
	seed   atomic.Uint64
	after  sync.WaitGroup
}

// Request is an authenticated request on a route.
type Request struct {
	ID        ident.RequestID
	Workspace ident.WorkspaceName
	Route     *table.Route
	Table     *table.Table
	Arrived   time.Time
	Deadline  time.Time
}

// Remaining is the time left of the request's limit.
func (r *Request) Remaining() time.Duration { return time.Until(r.Deadline) }

// Table returns the configuration in force.
func (c *Core) Table() *table.Table { return c.table.Load() }

// SetTable puts a configuration in force.
func (c *Core) SetTable(t *table.Table) { c.table.Store(t) }

// Seed makes the random choices depend on a number only.
func (c *Core) Seed(n uint64) { c.seed.Store(n) }

// withRandom lends a source of random numbers.
func (c *Core) withRandom(f func(*rand.Rand)) {
	r, ok := c.random.Get().(*rand.Rand)
	if !ok {
		r = rand.New(rand.NewPCG(c.seed.Add(1), 0))
	}
	f(r)
	c.random.Put(r)
}

// later runs a task that outlives its request; Wait waits for it.
func (c *Core) later(f func()) { c.after.Go(f) }

// Wait waits for the tasks that outlive their requests.
func (c *Core) Wait() { c.after.Wait() }

// event notes what happened to a request.
func (c *Core) event(k trace.Kind, r *Request, format string, args ...any) {
	c.Ring.Add(k, r.ID, fmt.Sprintf(format, args...))
}
