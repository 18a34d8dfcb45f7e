package edge

import (
	"context"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Reporter asks engines for their load.
type Reporter interface {
	Report(ctx context.Context, e *topol.Endpoint) (relay.Report, error)
}

const (
	// orphanLooks is the number of times that a node which starts asks the
	// engines, orphanEvery the pause between two of them.
	orphanLooks = 4
	orphanEvery = 700 * time.Millisecond
	// reportTimeout bounds the wait for one engine.
	reportTimeout = 300 * time.Millisecond
	// orphanPrompt is the size that a request without a node counts as, where
	// the engine doesn't tell its memory.
	orphanPrompt ident.Tokens = 5000
)

// orphanNode is the name under which requests stand that no node knows.
const orphanNode ident.NodeName = "(orphans)"

// findOrphans counts the requests at engines that no node knows, which nodes
// that died have left there. They fade as the engines finish them.
func (n *Node) findOrphans(ctx context.Context) {
	defer n.works.RemoveNode(orphanNode)
	for range orphanLooks {
		for n.feeds.Catalog() == nil || n.feeds.Fleet() == nil {
			if ctx.Err() != nil {
				return
			}
			delay.For(ctx, stopTick)
		}
		n.works.ReplaceNode(orphanNode, n.orphans(ctx))
		delay.For(ctx, orphanEvery)
	}
}

// orphans asks all engines at once.
func (n *Node) orphans(ctx context.Context) []works.Request {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[ident.EndpointName]relay.Report{}
	catalog := n.feeds.Catalog()
	for _, e := range n.feeds.Fleet().Names {
		if s := catalog.Services[e.Service]; s == nil || s.Engine == nil || e.Leaving {
			continue
		}
		wg.Go(func() {
			r, err := n.Reporter.Report(ctx, e)
			if err != nil {
				n.Logger.Debug().Err(err).Str("endpoint", string(e.Name)).Msg("node: no report of an engine")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[e.Name] = r
		})
	}
	wg.Wait()
	return unknownWorks(reports, n.works.All(), time.Now())
}

// unknownWorks are the requests that engines report beyond those that nodes
// know.
func unknownWorks(reports map[ident.EndpointName]relay.Report, known []works.Request, now time.Time) []works.Request {
	count := map[ident.EndpointName]int{}
	used := map[ident.EndpointName]ident.Tokens{}
	for _, w := range known {
		if w.Node != orphanNode {
			count[w.First]++
			used[w.First] += w.Share
		}
	}
	var ws []works.Request
	for name, r := range reports {
		extra := r.Running + r.Waiting - count[name]
		if extra <= 0 {
			continue
		}
		size := max(orphanPrompt, (r.Used-used[name])/ident.Tokens(extra))
		for range extra {
			ws = append(ws, works.Request{
				ID: works.ID(len(ws)), Node: orphanNode, First: name, Prompt: size, Share: size, Since: now, Writing: true,
			})
		}
	}
	return ws
}
