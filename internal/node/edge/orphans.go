package edge

import (
	"context"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/share"
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
	// orphanLife is how long the requests that a scan found count as running.
	orphanLife = orphanScans * orphanScanInterval
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

// orphanTable holds what the nodes found at the engines, each engine being scanned by one
// of them.
type orphanTable struct {
	mu       sync.Mutex
	byEngine map[ident.EndpointName]foundOrphans
}

type foundOrphans struct {
	relay.Orphans
	at time.Time
}

// add records what was found at engines.
func (t *orphanTable) add(os []relay.Orphans, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEngine == nil {
		t.byEngine = map[ident.EndpointName]foundOrphans{}
	}
	for _, o := range os {
		o.Count, o.Tokens = min(o.Count, maxOrphansPerEngine), max(o.Tokens, minOrphanTokens)
		t.byEngine[o.Endpoint] = foundOrphans{o, now}
	}
}

// requests returns an entry for each orphaned request that was found within orphanLife. It
// forgets the older ones.
func (t *orphanTable) requests(now time.Time) []works.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ws []works.Request
	for name, o := range t.byEngine {
		if now.Sub(o.at) > orphanLife {
			delete(t.byEngine, name)
			continue
		}
		for range o.Count {
			ws = append(ws, works.Request{
				ID: works.ID(len(ws)), Node: orphanNode, First: name, Prompt: o.Tokens, Share: o.Tokens, Since: o.at, Writing: true,
			})
		}
	}
	return ws
}

// addOrphans records what this node or another one found at engines.
func (n *Node) addOrphans(os []relay.Orphans) {
	now := time.Now()
	n.orphans.add(os, now)
	n.inFlight.ReplaceNode(orphanNode, n.orphans.requests(now))
	time.AfterFunc(orphanLife+orphanScanInterval, func() {
		n.inFlight.ReplaceNode(orphanNode, n.orphans.requests(time.Now()))
	})
}

// findOrphans scans engines for orphaned requests, which still run there although their
// nodes have died, and tells all nodes of them. The nodes alive have a part of the engines
// each, so that all are scanned if all nodes start together. Each scan replaces what the scan
// before found, since the engines finish these requests.
func (n *Node) findOrphans(ctx context.Context) {
	for range orphanScans {
		for n.feeds.Catalog() == nil || n.feeds.Endpoints() == nil {
			if ctx.Err() != nil {
				return
			}
			delay.For(ctx, pollInterval)
		}
		if os := n.scanOrphans(ctx); len(os) > 0 {
			n.mesh.AnnounceOrphans(os)
			n.addOrphans(os)
		}
		delay.For(ctx, orphanScanInterval)
	}
}

// scanOrphans fetches the load reports of this node's part of the engines in parallel and
// returns the orphaned requests at those that responded in time. A node that doesn't know yet
// which of many nodes are alive would scan nearly all engines, so it waits for the next scan.
func (n *Node) scanOrphans(ctx context.Context) []relay.Orphans {
	nodes := n.mesh.Nodes(time.Now())
	if nodes.IsCutOff() && nodes.Known >= share.DefaultHubThreshold {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[ident.EndpointName]relay.LoadReport{}
	catalog, evacuated := n.feeds.Catalog(), n.feeds.Evacuated()
	for _, e := range n.feeds.Endpoints().ByName {
		if s := catalog.Services[e.Service]; s == nil || s.Engine == nil || e.Leaving || evacuated.Has(e.DataCentre) || !nodes.IsFirst(string(e.Name)) {
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
	return orphansIn(reports, n.inFlight.All())
}

// orphansIn returns for each engine how many requests it reports in addition to the known
// requests of nodes.
func orphansIn(reports map[ident.EndpointName]relay.LoadReport, known []works.Request) []relay.Orphans {
	count := map[ident.EndpointName]int{}
	used := map[ident.EndpointName]ident.Tokens{}
	for _, w := range known {
		if w.Node != orphanNode {
			count[w.First]++
			used[w.First] += w.Share
		}
	}
	var os []relay.Orphans
	for name, r := range reports {
		o := relay.Orphans{Endpoint: name, Count: max(0, min(r.Running+r.Waiting-count[name], maxOrphansPerEngine))}
		if o.Count > 0 {
			o.Tokens = max(minOrphanTokens, (r.Used-used[name])/ident.Tokens(o.Count))
		}
		os = append(os, o)
	}
	return os
}
