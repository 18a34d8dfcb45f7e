package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// loadEvery is the time between two reads of the load of an endpoint that
	// this node uses, idleEvery of one that it doesn't.
	loadEvery = 200 * time.Millisecond
	idleEvery = time.Second
	// eventsEvery is the number of load reads to one read of cache events.
	eventsEvery = 5
	listEvery   = time.Second
	// maxPolls bounds the polls under way.
	maxPolls = 64
)

// poller reads the load of one endpoint.
type poller struct {
	busy   sync.Mutex
	last   time.Time
	count  int
	events uint64
}

// pollEndpoints reads the load of all endpoints until the context ends. A slow
// endpoint delays no other.
func (n *Node) pollEndpoints(ctx context.Context) {
	pollers := map[ident.EndpointName]*poller{}
	var g errgroup.Group
	g.SetLimit(maxPolls)
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	for {
		n.pollRound(ctx, &g, pollers)
		n.core.Observe(time.Now())
		select {
		case <-ctx.Done():
			g.Wait()
			return
		case <-t.C:
		}
	}
}

func (n *Node) pollRound(ctx context.Context, g *errgroup.Group, ps map[ident.EndpointName]*poller) {
	t := n.core.Table()
	if t == nil {
		return
	}
	for name, e := range t.Endpoints {
		p, ok := ps[name]
		if !ok {
			p = &poller{}
			ps[name] = p
		}
		if !p.busy.TryLock() {
			continue
		}
		if !e.RecentlyUsed() && time.Since(p.last) < idleEvery {
			p.busy.Unlock()
			continue
		}
		p.last = time.Now()
		if !g.TryGo(func() error { defer p.busy.Unlock(); n.poll(ctx, e, p); return nil }) {
			p.busy.Unlock()
		}
	}
}

func (n *Node) poll(ctx context.Context, e *table.Endpoint, p *poller) {
	if !delay.For(ctx, rand.N(loadEvery/4)) {
		return
	}
	if n.health.Poll(ctx, e) != nil || e.Config().Kind != confg.Engine {
		return
	}
	p.count++
	if p.count%eventsEvery == 0 {
		n.pollEvents(ctx, e, p)
	}
}

// pollEvents takes an engine's cache events as hints. A sequence that starts
// over means that the engine did.
func (n *Node) pollEvents(ctx context.Context, e *table.Endpoint, p *poller) {
	ctx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	es, err := n.engine.Events(ctx, e.Config().Address, p.events)
	if err != nil {
		return
	}
	for _, v := range es {
		p.events = max(p.events, v.Seq)
		if v.Removed {
			n.core.Hints.Remove(v.Block, e.Name)
		}
	}
}

// pollList reads the VM list until the context ends.
func (n *Node) pollList(ctx context.Context) {
	t := time.NewTicker(listEvery)
	defer t.Stop()
	for {
		n.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) readList(ctx context.Context) {
	vs, err := n.vms.List(ctx)
	if err != nil {
		return
	}
	byAddr := map[string]*table.Endpoint{}
	if t := n.core.Table(); t != nil {
		for _, e := range t.Endpoints {
			byAddr[e.Config().Address] = e
		}
	}
	var peers []string
	for _, v := range vs {
		if v.Role == "Node" {
			peers = append(peers, v.Address)
		}
		if e, ok := byAddr[v.Address]; ok {
			n.health.Listed(e, v.Leaving)
		}
	}
	n.mesh.SetListed(peers)
}
