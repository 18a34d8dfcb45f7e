// Package serve forwards requests to endpoints. The packages under coord
// decide on admission, routing, retries and strikes; this package carries out
// their decisions.
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

// Core forwards requests to endpoints and holds the state that all requests of a
// node share. The fields from Engine to LogRetention are set before use.
type Core struct {
	Engine       messg.Engine
	Pools        *conns.Pools
	Policy       route.Policy
	Claims       *claims.Claimer
	Strikes      *Strikes
	Health       *Health
	Reservations *Reservations
	Ring         *trace.Ring
	Ledger       *ledgr.Ledger
	Logger       zerolog.Logger
	Metrics      *Metrics
	// Alive reports whether a node is alive and still has the given boot
	// number.
	Alive func(n ident.NodeName, boot int64) bool
	// Rank returns the index of this node among the live nodes, and their
	// number.
	Rank func() (i, n int)
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration

	// Tally counts the requests in flight of each workspace.
	Tally  tally.Tally
	Hints  table.Hints
	Budget retry.Budget

	table         atomic.Pointer[table.Table]
	longPools     longPools
	fleetInFlight atomic.Pointer[fleetInFlight]
	// random holds idle sources of random numbers (*rand.Rand). seed is the last
	// seed used for one.
	random sync.Pool
	seed   atomic.Uint64
	// tasks are the goroutines started by inBackground.
	tasks sync.WaitGroup
}

// Request is an authenticated request on a route.
type Request struct {
	ID        ident.RequestID
	Workspace ident.WorkspaceName
	Route     *table.Route
	// Table is the configuration that was in force when the request arrived.
	Table    *table.Table
	Arrived  time.Time
	Deadline time.Time
}

// Remaining returns the time left until the request's deadline.
func (r *Request) Remaining() time.Duration { return time.Until(r.Deadline) }

// Table returns the configuration in force, or nil if there is none yet.
func (c *Core) Table() *table.Table { return c.table.Load() }

// SetTable replaces the configuration in force.
func (c *Core) SetTable(t *table.Table) { c.table.Store(t) }

// Seed sets the number from which the seeds of the sources of random numbers are
// counted up.
func (c *Core) Seed(n uint64) { c.seed.Store(n) }

// withRandom calls f with a source of random numbers that no other call uses
// at the same time.
func (c *Core) withRandom(f func(*rand.Rand)) {
	r, ok := c.random.Get().(*rand.Rand)
	if !ok {
		r = rand.New(rand.NewPCG(c.seed.Add(1), 0))
	}
	f(r)
	c.random.Put(r)
}

// inBackground runs f in a goroutine that may outlive the request; Wait waits
// for it.
func (c *Core) inBackground(f func()) { c.tasks.Go(f) }

// Wait waits for all functions that inBackground started.
func (c *Core) Wait() { c.tasks.Wait() }

// recordEvent adds an event of a request to the time line.
func (c *Core) recordEvent(k trace.Kind, r *Request, format string, args ...any) {
	c.Ring.Add(k, r.ID, fmt.Sprintf(format, args...))
}
