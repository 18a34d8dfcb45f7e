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

// Reporter fetches load reports from engines.
type Reporter interface {
	Report(ctx context.Context, e *topol.Endpoint) (relay.LoadReport, error)
}

const (
	// orphanScans is the number of times that a starting node scans the engines
	// for orphaned requests, orphanScanInterval the pause after each scan.
	orphanScans        = 4
	orphanScanInterval = 700 * time.Millisecond
	// reportTimeout limits the wait for the load reports of one scan.
	reportTimeout = 300 * time.Millisecond
	// minOrphanTokens is the minimum size assumed for an orphaned request. It is
	// the assumed size if the engine doesn't report its memory in use.
	minOrphanTokens ident.Tokens = 5000
	// maxOrphansPerEngine bounds the orphaned requests at one engine.
	maxOrphansPerEngine = 1000
)

// orphanNode is the node name under which orphaned requests are added to the
// table of requests in flight.
const orphanNode ident.NodeName = "(orphans)"

// findOrphans scans the engines for orphaned requests, which still run there
// although their nodes have died, and adds them to the table of requests in
// flight. Each scan replaces the entries of the scan before, since the engines
// finish these requests; after the last scan the entries are dropped.
func (n *Node) findOrphans(ctx context.Context) {
	defer n.inFlight.RemoveNode(orphanNode)
	for range orphanScans {
		for n.feeds.Catalog() == nil || n.feeds.Endpoints() == nil {
			if ctx.Err() != nil {
				return
			}
			delay.For(ctx, pollInterval)
		}
		n.inFlight.ReplaceNode(orphanNode, n.scanOrphans(ctx))
		delay.For(ctx, orphanScanInterval)
	}
}

// scanOrphans fetches the load reports of all engines in parallel and returns the
// orphaned requests at those that responded in time.
func (n *Node) scanOrphans(ctx context.Context) []works.Request {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[ident.EndpointName]relay.LoadReport{}
	catalog := n.feeds.Catalog()
	for _, e := range n.feeds.Endpoints().ByName {
		if s := catalog.Services[e.Service]; s == nil || s.Engine == nil || e.Leaving {
			continue
		}
		wg.Go(func() {
			r, err := n.Reporter.Report(ctx, e)
			if err != nil {
				n.Logger.Debug().Err(err).Str("endpoint", string(e.Name)).Msg("node: no load report from an engine")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[e.Name] = r
		})
	}
	wg.Wait()
	return orphanedRequests(reports, n.inFlight.All(), time.Now())
}

// orphanedRequests returns an entry for each request that an engine reports in
// addition to the known requests of nodes.
func orphanedRequests(reports map[ident.EndpointName]relay.LoadReport, known []works.Request, now time.Time) []works.Request {
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
		extra := min(r.Running+r.Waiting-count[name], maxOrphansPerEngine)
		if extra <= 0 {
			continue
		}
		size := max(minOrphanTokens, (r.Used-used[name])/ident.Tokens(extra))
		for range extra {
			ws = append(ws, works.Request{
				ID: works.ID(len(ws)), Node: orphanNode, First: name, Prompt: size, Share: size, Since: now, Writing: true,
			})
		}
	}
	return ws
}
