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

// lanes holds the long lane of each model, read without a lock on the path of
// a request.
type lanes struct {
	nodes atomic.Int64
	m     sync.Map // ModelName to *lane
}

type lane struct {
	state atomic.Pointer[route.LongPool]
}

// nodeCount returns the number of nodes alive, as last observed.
func (l *lanes) nodeCount() int { return max(1, int(l.nodes.Load())) }

// size returns how many of a model's n engines are in its long lane.
func (l *lanes) size(m ident.ModelName, n int) int {
	if v, ok := l.m.Load(m); ok {
		return v.(*lane).state.Load().Size(n)
	}
	return route.LongPool{}.Size(n)
}

// busy sums what all workspaces have in flight.
type busy struct {
	all admit.InFlight
	// weights is the sum over workspaces with requests in flight.
	weights int
}

// Observe sizes the long lanes and sums the uses, so that the path of a
// request need not. It is called after each round of load reports.
func (c *Core) Observe(now time.Time) {
	_, n := c.Rank()
	c.lanes.nodes.Store(int64(n))
	t := c.Table()
	if t == nil {
		return
	}
	b := &busy{}
	for w, u := range c.Tally.Fleet() {
		b.all.Requests += u.Requests
		b.all.Tokens += u.Tokens
		b.weights += t.Document.Workspaces[w].Weight
	}
	c.busy.Store(b)
	for _, m := range t.Models() {
		c.lanes.observe(m, viewsOf(t.Engines(m), now, n))
	}
}

func viewsOf(es []*table.Endpoint, now time.Time, nodes int) []table.View {
	var vs []table.View
	for _, e := range es {
		if e.State() == table.Up {
			vs = append(vs, e.View(now, nodes))
		}
	}
	return vs
}

func (l *lanes) observe(m ident.ModelName, vs []table.View) {
	v, ok := l.m.Load(m)
	if !ok {
		v = &lane{}
		v.(*lane).state.Store(&route.LongPool{})
		l.m.Store(m, v)
	}
	next := v.(*lane).state.Load().Observe(vs)
	v.(*lane).state.Store(&next)
}
