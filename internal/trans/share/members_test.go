package share

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// namesOf returns the names of nodes, perDataCentre of them in each of some data centres.
func namesOf(dataCentres, perDataCentre int) []string {
	var names []string
	for c := range dataCentres {
		for i := range perDataCentre {
			names = append(names, fmt.Sprintf("%c%d", 'a'+c, i))
		}
	}
	return names
}

// testTimeout is how long a test waits for a condition before it fails.
const testTimeout = 30 * time.Second

// waitFor waits until a condition holds.
func waitFor(t testing.TB, holds func() bool) {
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		must.Less(t, testTimeout, time.Since(began), must.Sprint("the condition does not hold"))
	}
}

// Guards against connections and memory of a node that grow with the fleet.
func TestMostNodesAreConnectedToCandidatesOnly(t *testing.T) {
	const perDataCentre, candidates, hubs = 6, 4, 2
	ns := start(t, namesOf(3, perDataCentre)...)
	for _, n := range ns {
		waitFor(t, func() bool {
			most := candidates
			if n.isHub.Load() {
				most = perDataCentre - 1 + 2*hubs
			}
			return len(n.ConnectedAddresses()) <= most && len(n.Nodes(time.Now()).Alive) == len(ns)
		})
	}
}

// Guards against permits and configurations that can't be fetched from a node to which no
// connection is kept.
func TestNodeFetchesFromAnyNode(t *testing.T) {
	ns := start(t, namesOf(3, 6)...)
	last := ns[len(ns)-1]
	from := ns[5]
	waitFor(t, func() bool { return len(last.ConnectedAddresses()) <= 4 })
	p, err := last.FetchPermit(from.Self.Name, quota.Key{})
	must.NoError(t, err)
	test.True(t, p.Granted)
}

// Guards against calls that get the client of a connection which is just being closed because it
// was not needed any more.
func TestClientOfAnUnneededConnectionIsNotUsed(t *testing.T) {
	m := newConnectedMesh(t, "a1", "a2")
	p := m.peers["a2"]
	p.role, p.neededUntil = role{}, time.Time{}
	must.NotNil(t, p.client)
	must.False(t, p.keepsClient())
	test.Nil(t, p.client)
}

// Guards against requests in flight of a dead node that count for ever at nodes without a
// connection to it, and against nodes that take it for alive.
func TestDeathOfANodeIsHeardOfEverywhere(t *testing.T) {
	ns := start(t, namesOf(2, 6)...)
	dead := ns[5]
	w := works.Request{ID: 7, Node: dead.Self.Name, First: "e", Since: time.Now()}
	dead.InFlight.Put(w)
	dead.AnnounceStart(w)
	for _, n := range ns {
		n.waitForRequest(7, dead.Self.Name, true)
	}
	dead.stop()
	for _, n := range ns {
		if n == dead {
			continue
		}
		waitFor(t, func() bool { return len(n.Nodes(time.Now()).Alive) == len(ns)-1 })
		n.waitForRequest(7, dead.Self.Name, false)
	}
}

// Guards against a dead node that counts as alive at nodes to which others reported a contact
// later than the last one of its hub.
func TestLossCountsAfterAnyEarlierContact(t *testing.T) {
	m := newConnectedMesh(t, "a1", "a2")
	now := time.Now()
	p := m.peers["a2"]
	p.role, p.lastSeen = role{}, now.Add(-time.Second)
	m.learn(p, relay.HeardMember{Member: p.Member, Lost: true}, now)
	test.True(t, p.lost)
	m.learn(p, relay.HeardMember{Member: p.Member, Age: 500 * time.Millisecond}, now)
	test.True(t, p.lost, test.Sprint("that contact was before the loss"))
	m.learn(p, relay.HeardMember{Member: p.Member}, now.Add(time.Second))
	test.False(t, p.lost)
}

// Guards against a status that only the connected nodes hear of.
func TestStatusOfANodeReachesAllNodes(t *testing.T) {
	ns := start(t, namesOf(3, 5)...)
	leaving := ns[4]
	leaving.leaving.Store(true)
	leaving.AnnounceStatus()
	for _, n := range ns {
		waitFor(t, func() bool {
			for _, m := range n.Members() {
				if m.Name == leaving.Self.Name && m.Leaving {
					return true
				}
			}
			return false
		})
	}
}

// Guards against an outdated list of requests that arrives over a longer path than later changes
// of the same node, and undoes them.
func TestOlderListOfRequestsIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name string
		u    relay.Update
		kept int
	}{
		{"older", relay.Update{Seq: 4}, 1},
		{"the same changes, of the node itself", relay.Update{Seq: 5}, 0},
		{"the same changes, of a hub", relay.Update{Seq: 5, Copied: true}, 0},
		{"newer, of a hub", relay.Update{Seq: 6, Copied: true}, 0},
		{"of an older build", relay.Update{}, 0},
	} {
		m := newConnectedMesh(t, "a1")
		m.accept(&relay.Update{From: relay.Member{Name: "a2"}, Reset: true, Seq: 3})
		m.accept(&relay.Update{From: relay.Member{Name: "a2"}, Seq: 5, Began: []relay.AgedRequest{{Work: works.Request{ID: 1, Node: "a2"}}}})
		c.u.From, c.u.Reset = relay.Member{Name: "a2"}, true
		m.accept(&relay.Update{From: relay.Member{Name: "a3"}, Forwarded: []relay.Update{c.u}})
		test.SliceLen(t, c.kept, m.InFlight.ByNode("a2"), test.Sprint(c.name))
	}
}

// Guards against a node that treats a heartbeat, which holds no requests, as a list of requests,
// and then ignores the list of a hub.
func TestHeartbeatTellsNothingOfRequests(t *testing.T) {
	m := newConnectedMesh(t, "a1")
	m.accept(&relay.Update{From: relay.Member{Name: "a2"}, Reset: true, Seq: 3})
	sent := newConnectedMesh(t, "a2", "a1")
	p := sent.peers["a1"]
	p.mu.Lock()
	p.direct = false
	p.mu.Unlock()
	sent.seq.Store(4)
	u := p.takePending()
	m.accept(&u)
	seq, complete := m.InFlight.Seq("a2")
	must.True(t, complete)
	test.Eq(t, 3, seq)
}

// Guards against a hub that keeps all frames for a node that doesn't read them.
func TestSlowNodeIsDroppedFromTheGroup(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	m := newConnectedMesh(t, "a1")
	o := m.fanout.join(near)
	failed := make(chan struct{})
	go o.write(func() { close(failed) })
	o.release()
	for o.failure() == nil {
		m.fanout.queue(true, func(u *relay.Update) { u.Wrote = append(u.Wrote, 1) })
		m.fanout.flush()
	}
	<-failed
	test.ErrorIs(t, o.failure(), errSlowPeer)
}

// Guards against changes that are lost since they were announced while the first
// connection to a hub was being opened.
func TestChangesDuringTheFirstConnectionAreSent(t *testing.T) {
	m := newConnectedMesh(t, "a1")
	p := &peer{mesh: m, address: "a2", Member: relay.Member{Name: "a2", Address: "a2"}, wake: make(chan struct{}, 1), running: true, linkedAt: time.Now(), role: role{linked: true, direct: true}}
	m.peers["a2"] = p
	m.AnnounceProof(strik.Proof{Parts: []ident.PartID{3}})
	test.SliceLen(t, 1, p.pending.Proofs)
	p.linkedAt = time.Now().Add(-time.Minute)
	m.AnnounceProof(strik.Proof{Parts: []ident.PartID{4}})
	test.SliceLen(t, 1, p.pending.Proofs, test.Sprint("changes don't pile up for a node that can't be reached"))
}

// Guards against a node that is cut off and counts the others as alive because of what they
// reported of each other before.
func TestNodeWithoutConnectionsKnowsNobodyAlive(t *testing.T) {
	now := time.Now()
	m := newConnectedMesh(t, "a1", "a2", "a3", "b1")
	for _, p := range m.peers {
		p.client.Close()
		p.client, p.failedAt = nil, now
	}
	m.peers["b1"].role, m.peers["b1"].failedAt = role{}, time.Time{}
	test.SliceLen(t, 1, m.Nodes(now).Alive)
	must.True(t, m.Nodes(now).IsCutOff())
}

// Guards against a connection that has gone silent and that every pull of the state waits for.
func TestCallWithoutAnAnswerIsFollowedByAHeartbeat(t *testing.T) {
	m := newConnectedMesh(t, "a1", "a2")
	_, err := m.FetchState("a2", relay.StateArgs{})
	test.ErrorIs(t, err, context.DeadlineExceeded)
	test.Eq(t, 1, len(m.peers["a2"].wake))
}

// A fleet settles for settleTime before its calls are counted for measureTime.
const (
	settleTime  = 5 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkFleet shows what a node costs in a fleet, ten nodes in each data centre: its heap
// and stacks, its connections, and the calls that it makes without any traffic.
func BenchmarkFleet(b *testing.B) {
	for _, dataCentres := range []int{1, 2, 4, 8} {
		names := namesOf(dataCentres, 10)
		b.Run(fmt.Sprint(len(names), "_nodes"), func(b *testing.B) {
			before := memoryInUse()
			ns := start(b, names...)
			var links int
			var calls float64
			for b.Loop() {
				time.Sleep(settleTime)
				links, calls = 0, callsOf(ns)
				time.Sleep(measureTime)
				calls = (callsOf(ns) - calls) / measureTime.Seconds()
				for _, n := range ns {
					links += len(n.ConnectedAddresses())
				}
			}
			count := float64(len(ns))
			b.ReportMetric(float64(memoryInUse()-before)/count/1024, "KB/node")
			b.ReportMetric(float64(links)/count, "links/node")
			b.ReportMetric(calls/count, "calls/s/node")
			for _, n := range ns {
				n.stop()
			}
		})
	}
}

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// callsOf returns the number of calls that the nodes have made.
func callsOf(ns []*node) float64 {
	var calls uint64
	for _, n := range ns {
		calls += n.stats.callsMade.Load()
	}
	return float64(calls)
}
