package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/confg"
)

const (
	// loadPollInterval is the time between two polls of the load of an endpoint
	// that this node used recently, idlePollInterval that for other endpoints.
	loadPollInterval = 200 * time.Millisecond
	idlePollInterval = time.Second
	// pollsPerEventRead is the number of load polls for each read of cache events.
	pollsPerEventRead = 5
	// listInterval is the time between two reads of the VM list. It also limits
	// the read of an engine's cache events.
	listInterval = time.Second
	// maxPolls limits the number of concurrent polls.
	maxPolls = 64
)

// pollState holds the progress of polling one endpoint.
type pollState struct {
	// busy is locked while a poll runs.
	busy     sync.Mutex
	lastPoll time.Time
	// polls counts the successful load polls of an engine.
	polls int
	// lastEvent is the number of the last cache event read.
	lastEvent uint64
}

// pollStates holds the progress for each endpoint. An endpoint at a new address is another
// one, even if it has the same name.
type pollStates map[*table.Endpoint]*pollState

// pollEndpoints polls the load of all endpoints until the context ends. It runs
// the polls concurrently, so that a slow endpoint doesn't delay the others.
func (n *Node) pollEndpoints(ctx context.Context) {
	states := pollStates{}
	var g errgroup.Group
	g.SetLimit(maxPolls)
	delay.Repeat(ctx, loadPollInterval, func(time.Time) {
		n.startPolls(ctx, &g, states)
		n.core.RefreshLoad(time.Now())
	})
	g.Wait()
}

// startPolls starts a poll of each endpoint that is due and not being polled. If
// maxPolls are running, the endpoint is skipped until the next call.
func (n *Node) startPolls(ctx context.Context, g *errgroup.Group, ps pollStates) {
	t := n.core.Table()
	if t == nil {
		return
	}
	maps.DeleteFunc(ps, func(e *table.Endpoint, _ *pollState) bool { return t.Endpoints[e.Name] != e })
	for _, e := range t.Endpoints {
		p, ok := ps[e]
		if !ok {
			p = &pollState{}
			ps[e] = p
		}
		if !p.busy.TryLock() {
			continue
		}
		if !e.RecentlyUsed() && time.Since(p.lastPoll) < idlePollInterval {
			p.busy.Unlock()
			continue
		}
		if !g.TryGo(func() error { defer p.busy.Unlock(); n.poll(ctx, e, p); return nil }) {
			p.busy.Unlock()
			continue
		}
		p.lastPoll = time.Now()
	}
}

// poll fetches the load of an endpoint after a random delay and, at intervals,
// the cache events of an engine.
func (n *Node) poll(ctx context.Context, e *table.Endpoint, p *pollState) {
	if !delay.For(ctx, rand.N(loadPollInterval/4)) {
		return
	}
	if n.health.Poll(ctx, e) != nil || e.Config().Kind != confg.Engine {
		return
	}
	p.polls++
	if p.polls%pollsPerEventRead == 0 {
		n.pollEvents(ctx, e, p)
	}
}

// pollEvents reads an engine's cache events and removes the engine from the
// prefix-cache hints for blocks that it evicted. An engine that restarts numbers
// its events from the start again; they are ignored until their numbers exceed
// lastEvent.
func (n *Node) pollEvents(ctx context.Context, e *table.Endpoint, p *pollState) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	es, err := n.engineClient.Events(ctx, e.Config().Address, p.lastEvent)
	if err != nil {
		return
	}
	for _, v := range es {
		p.lastEvent = max(p.lastEvent, v.Seq)
		if v.Removed {
			n.core.Hints.Remove(v.Block, e.Name)
		}
	}
}

// pollList polls the VM list until the context ends.
func (n *Node) pollList(ctx context.Context) {
	delay.Repeat(ctx, listInterval, func(time.Time) { n.readList(ctx) })
}

// readList reads the VM list once. It passes the entries of endpoints to the
// health tracker and the addresses of nodes to the mesh.
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
			n.health.RecordListing(e, v.Leaving)
		}
	}
	n.mesh.SetPeerAddrs(peers)
}
