package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// orphanedRequests returns the entries for what the reports of engines show.
func orphanedRequests(reports map[ident.EndpointName]relay.LoadReport, known []works.Request, now time.Time) []works.Request {
	var t orphanTable
	t.add(orphansIn(reports, known), now)
	return t.requests(now)
}

// When all nodes fail at once, the engines still run the requests that the nodes
// had sent. Nodes that start must count these, or they send an engine more
// requests than it has slots for.
func TestRequestsOfDeadNodesAreCounted(t *testing.T) {
	reports := map[ident.EndpointName]relay.LoadReport{
		"full":  {Running: 16, Waiting: 4, Used: 200_000},
		"known": {Running: 2, Used: 9_000},
		"some":  {Running: 3, Used: 90_000},
		"free":  {},
	}
	known := []works.Request{
		{Node: "n", First: "known", Share: 5000}, {Node: "n", First: "known", Share: 4000}, {Node: "n", First: "some", Share: 10_000},
		{Node: orphanNode, First: "some", Share: 5000},
	}
	count := map[ident.EndpointName]int{}
	tokens := map[ident.EndpointName]ident.Tokens{}
	for _, w := range orphanedRequests(reports, known, time.Now()) {
		count[w.First]++
		tokens[w.First] += w.Share
		test.True(t, w.Writing)
	}
	test.Eq(t, map[ident.EndpointName]int{"full": 20, "some": 2}, count)
	test.Eq(t, 200_000, tokens["full"])
	test.Eq(t, 80_000, tokens["some"])
}

// Guards against nodes that run out of memory at their start by the report of one engine:
// each request that it states takes some memory.
func TestOrphansOfOneEngineAreBounded(t *testing.T) {
	for _, r := range []relay.LoadReport{{Running: 100_000}, {Waiting: 100_000}, {Running: 1, Waiting: 100_000, Used: math.MaxInt64}} {
		ws := orphanedRequests(map[ident.EndpointName]relay.LoadReport{"odd": r, "some": {Running: 3}}, nil, time.Now())
		count := map[ident.EndpointName]int{}
		for _, w := range ws {
			count[w.First]++
		}
		test.Eq(t, map[ident.EndpointName]int{"odd": maxOrphansPerEngine, "some": 3}, count)
	}
	for _, r := range []relay.LoadReport{{Running: -5}, {Running: math.MaxInt, Waiting: math.MaxInt}, {Running: math.MinInt, Waiting: math.MinInt}} {
		test.LessEq(t, maxOrphansPerEngine, len(orphanedRequests(map[ident.EndpointName]relay.LoadReport{"odd": r}, nil, time.Now())))
	}
}

// Guards against calls of the engines that grow with the square of the fleet when all its
// nodes start at once.
func TestNodesShareTheScanOfEngines(t *testing.T) {
	names := make([]ident.NodeName, 195)
	for i := range names {
		names[i] = ident.NodeName(fmt.Sprint("n", i))
	}
	for e := range 195 {
		scans := 0
		for _, n := range names {
			if (quota.Nodes{Self: n, Alive: names}).IsFirst(fmt.Sprint("engine", e)) {
				scans++
			}
		}
		must.Eq(t, 1, scans)
	}
}

// Guards against orphaned requests that count for ever, also if the node that found them has
// died.
func TestOrphansExpire(t *testing.T) {
	var found orphanTable
	now := time.Now()
	found.add([]relay.Orphans{{Endpoint: "e", Count: 2, Tokens: 9_000}, {Endpoint: "odd", Count: -1, Tokens: -1}}, now)
	test.SliceLen(t, 2, found.requests(now))
	found.add([]relay.Orphans{{Endpoint: "e", Count: 1, Tokens: 9_000}}, now.Add(orphanScanInterval))
	test.SliceLen(t, 1, found.requests(now.Add(orphanLife)))
	test.SliceEmpty(t, found.requests(now.Add(orphanScanInterval+orphanLife+1)))
}
