package serve

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// longPools holds, for each model, the pool of engines that serve its long
// prompts. Requests read it without a lock.
type longPools struct {
	// nodes is the number of live nodes at the last RefreshLoad, zero before
	// the first.
	nodes   atomic.Int64
	byModel sync.Map // ident.ModelName to *longPool
}

type longPool struct {
	state atomic.Pointer[route.LongPool]
}

// nodeCount returns the number of live nodes at the last RefreshLoad, at least
// 1.
func (l *longPools) nodeCount() int { return max(1, int(l.nodes.Load())) }

// size returns how many of a model's n engines are in its pool for long
// prompts.
func (l *longPools) size(m ident.ModelName, n int) int {
	if v, ok := l.byModel.Load(m); ok {
		return v.(*longPool).state.Load().Size(n)
	}
	return route.LongPool{}.Size(n)
}

// fleetInFlight sums the requests in flight of all workspaces at all nodes.
type fleetInFlight struct {
	total admit.InFlight
	// weights is the sum of the weights of the workspaces that have requests
	// in flight.
	weights int
}

// RefreshLoad updates the sizes of the pools for long prompts and the totals
// of requests in flight, so that requests needn't compute them. It is called
// once per round of load polls.
func (c *Core) RefreshLoad(now time.Time) {
	_, n := c.Rank()
	c.longPools.nodes.Store(int64(n))
	t := c.Table()
	if t == nil {
		return
	}
	sum := &fleetInFlight{}
	for w, u := range c.Tally.Totals() {
		sum.total.Requests += u.Requests
		sum.total.Tokens += u.Tokens
		sum.weights += t.Document.Workspaces[w].Weight
	}
	c.fleetInFlight.Store(sum)
	for _, m := range t.Models() {
		c.longPools.update(m, loadEstimates(t.Engines(m), now, n))
	}
}

// loadEstimates returns the load estimates of the endpoints that are up.
func loadEstimates(es []*table.Endpoint, now time.Time, nodes int) []table.LoadEstimate {
	var vs []table.LoadEstimate
	for _, e := range es {
		if e.State() == table.Up {
			vs = append(vs, e.EstimateLoad(now, nodes))
		}
	}
	return vs
}

func (l *longPools) update(m ident.ModelName, vs []table.LoadEstimate) {
	v, ok := l.byModel.Load(m)
	if !ok {
		v = &longPool{}
		v.(*longPool).state.Store(&route.LongPool{})
		l.byModel.Store(m, v)
	}
	next := v.(*longPool).state.Load().Resized(vs)
	v.(*longPool).state.Store(&next)
}
