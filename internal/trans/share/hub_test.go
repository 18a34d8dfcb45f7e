package share

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against a deadlock: the limits are queued for a new peer while its lock is held, and
// whoever holds the lock of the limits waits for that of the peer to list the nodes.
func TestLimitsMayListTheNodes(t *testing.T) {
	n := start(t, "a1")[0]
	told := make(chan struct{}, 10)
	n.Limits = func() []quota.Limit {
		n.Nodes(time.Now())
		told <- struct{}{}
		return nil
	}
	n.AddPeer(start(t, "a2")[0].Self.Address)
	<-told
}

func TestStatementsOfEndpointsReachAllNodes(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "b1", "b2")
	key := quota.Key{Endpoint: "e", Born: 3}
	rest := avail.Rest{Key: key, Node: "a1", Until: time.Now().Add(time.Minute)}
	ns[0].AnnounceAvailability(avail.State{Key: key, Leaving: true})
	ns[0].AnnounceRest(rest)
	for _, n := range ns[1:] {
		test.Eq(t, avail.State{Key: key, Leaving: true}, <-n.stated)
		r := <-n.rests
		test.Less(t, time.Second, r.Until.Sub(rest.Until).Abs())
		r.Until = rest.Until
		test.Eq(t, rest, r)
	}
}

// Guards against BUDGET: nodes that don't know of each other's trials send several at once.
func TestTrialsReachAllNodes(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "b1", "b2")
	sent := strik.Trial{Node: "a1", Parts: []ident.PartID{7}, At: time.Now().Add(-time.Minute), Ended: true}
	ns[0].AnnounceTrial(sent)
	for _, n := range ns[1:] {
		tr := <-n.trials
		test.Less(t, time.Second, tr.At.Sub(sent.At).Abs())
		tr.At = sent.At
		test.Eq(t, sent, tr)
	}
}

func TestDecisionsOnPromptsReachAllNodes(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "b1", "b2")
	sent := bysize.Decision{Route: "r", Prompt: 300_000, Admitted: true, At: time.Now().Add(-time.Minute)}
	ns[0].AnnounceDecision(sent)
	for _, n := range ns[1:] {
		d := <-n.decided
		test.Less(t, time.Second, d.At.Sub(sent.At).Abs())
		d.At = sent.At
		test.Eq(t, sent, d)
	}
}

// Guards against a node that starts, or was cut off, and sends prompts with parts that the
// others know to crash endpoints.
func TestNewNodeLearnsOfPartsUnderSuspicion(t *testing.T) {
	ns := start(t, "a1", "a2", "b1", "b2")
	ns[0].suspected.Store(&[]strik.PartState{{Part: 7, Strikes: 3, StruckAt: time.Now()}})
	for _, o := range ns {
		o.AnnounceProof(strik.Proof{Parts: []ident.PartID{8}, At: time.Now()})
	}
	for _, o := range ns {
		test.Eq(t, 8, <-o.proofs)
	}
	newcomer := start(t, "a3")[0]
	newcomer.AddPeer(ns[0].Self.Address)
	test.Eq(t, 7, <-newcomer.parts)
}

// Guards against a node that starts and learns of strikes only after it serves, or without the success
// that cleared them.
func TestStateForAStartingNodeTellsPartsWithStrikes(t *testing.T) {
	struckAt := time.Now().Add(-time.Minute)
	n := startNode(t, "a1")
	n.suspected.Store(&[]strik.PartState{
		{Part: 7, Strikes: 3, Whole: true, StruckAt: struckAt},
		{Part: 8, StruckAt: struckAt, EndedWellAt: struckAt.Add(time.Second)},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The peer can't connect to this node, so that it can only answer.
	m := &Mesh{Self: relay.Member{Name: "a2", Address: "127.0.0.1:1", DataCentre: "a"}, InFlight: &works.Table{}, Logger: zerolog.Nop()}
	knowNothing(m)
	var told []strik.PartState
	m.OnPartStates = func(ps []strik.PartState) { told = ps }
	m.Init(ctx)
	m.AddPeer(n.Self.Address)
	for {
		if _, err := m.FetchState(n.Self.Address, relay.StateArgs{Starts: true}); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	must.SliceLen(t, 2, told)
	for i, want := range *n.suspected.Load() {
		test.Less(t, time.Second, told[i].StruckAt.Sub(want.StruckAt).Abs())
		test.Less(t, time.Second, told[i].EndedWellAt.Sub(want.EndedWellAt).Abs())
		told[i].StruckAt, told[i].EndedWellAt = want.StruckAt, want.EndedWellAt
		test.Eq(t, want, told[i], test.Sprint(i))
	}
}

// directDataCentres returns the data centres, one letter each, of the peers to
// which the node sends its updates directly.
func (n *node) directDataCentres() string {
	var as []string
	for _, p := range n.allPeers() {
		p.mu.Lock()
		if p.direct {
			as = append(as, string(p.DataCentre))
		}
		p.mu.Unlock()
	}
	return strings.Join(as, "")
}

// waitForRequest waits until the node has recorded a request of another node or,
// if present is false, no longer has.
func (n *node) waitForRequest(id works.ID, from ident.NodeName, present bool) {
	waitFor(n.t, func() bool {
		found := false
		for _, w := range n.InFlight.ByNode(from) {
			found = found || w.ID == id
		}
		return found == present
	})
}

func TestHubsForwardRequests(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1")
	test.Eq(t, 1, len(ns[2].directDataCentres()), test.Sprint("a node that is no hub sends to its hub only"))
	a1 := ns[0]
	local := strings.Count(a1.directDataCentres(), "a") + strings.Count(ns[1].directDataCentres(), "a")
	test.Eq(t, 4, local, test.Sprint("the hubs of a data centre send to each other, and each of its other nodes is sent to by one of them"))
	test.Eq(t, 1, strings.Count(a1.directDataCentres(), "b"))
	test.Eq(t, 1, strings.Count(a1.directDataCentres(), "c"))
	for i, from := range []*node{ns[0], ns[3], ns[6], ns[7]} {
		id, name := works.ID(i+1), from.Self.Name
		w := works.Request{ID: id, Node: name, First: "e", Since: time.Now().Add(-time.Second)}
		from.InFlight.Put(w)
		from.AnnounceStart(w)
		for _, n := range ns {
			n.waitForRequest(id, name, true)
			test.GreaterEq(t, time.Second, time.Since(n.InFlight.ByNode(name)[0].Since), test.Sprint("forwarding keeps the age"))
		}
		from.AnnounceDecoding(id)
		from.InFlight.Remove(name, id)
		from.AnnounceEnd(id)
		for _, n := range ns {
			n.waitForRequest(id, name, false)
		}
	}
}

func TestAnotherNodeBecomesHubIfAHubDies(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4", "b1", "b2")
	a4 := ns[3]
	w := works.Request{ID: 7, Node: "a4", First: "e", Since: time.Now()}
	a4.InFlight.Put(w)
	remaining := ns
	for i, n := range ns[:2] {
		if a4.hubAmong([]*node{n}) {
			n.stop()
			remaining = slices.Delete(slices.Clone(ns), i, i+1)
		}
	}
	must.SliceLen(t, len(ns)-1, remaining)
	// The nodes call Sweep at different intervals, so they detect the death at
	// different times.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, n := range remaining {
		go delay.Every(ctx, time.Duration(i+1)*sweepInterval, n.Sweep)
	}
	for _, n := range remaining {
		n.waitForRequest(7, "a4", true)
	}
	test.True(t, a4.hubAmong(remaining))
}

func TestNewNodeGetsRequestsInFlight(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4")
	w := works.Request{ID: 7, Node: "a4", First: "e", Since: time.Now()}
	ns[3].InFlight.Put(w)
	ns[3].AnnounceStart(w)
	ns[0].waitForRequest(7, "a4", true)
	late := start(t, "a5")[0]
	for _, n := range ns {
		n.AddPeer(late.Self.Address)
	}
	late.waitForRequest(7, "a4", true)
}

// Guards against nodes that send an endpoint more requests than the limit that it named to
// another node: all nodes, also those that start later, must know the limit and its age.
func TestLimitsReachAllNodes(t *testing.T) {
	limit := quota.Limit{Key: quota.Key{Endpoint: "e", Born: 5}, Rate: 1.7}
	ns := start(t, "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1")
	told := make(chan quota.Limit, 100)
	for _, n := range ns {
		n.setOnLimits(func(ls []quota.Limit) { told <- ls[0] })
	}
	limit.ObservedAt = time.Now().Add(-time.Second)
	ns[3].AnnounceLimits(limit)
	for range len(ns) - 1 {
		got := <-told
		test.Eq(t, limit.Key, got.Key)
		test.Eq(t, limit.Rate, got.Rate)
		test.GreaterEq(t, time.Second, time.Since(got.ObservedAt))
	}
	ns[0].setLimits([]quota.Limit{limit})
	late := start(t, "a5")[0]
	late.setOnLimits(func(ls []quota.Limit) { told <- ls[0] })
	ns[0].AddPeer(late.Self.Address)
	test.Eq(t, limit.Key, (<-told).Key)
}

func TestHubCandidateIsContactedAtOnce(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	m := &Mesh{Self: relay.Member{Name: "a9", Address: "9", DataCentre: "a"}, InFlight: &works.Table{}, HubThreshold: 1}
	knowNothing(m)
	m.Init(context.Background())
	p := &peer{
		mesh: m, Member: relay.Member{Name: "a1", Address: "1", DataCentre: "a"}, client: rpc.NewClient(near),
		wake: make(chan struct{}, 1), lastSeen: time.Now().Add(-9 * time.Second), running: true,
	}
	m.peers["1"] = p
	m.replan(time.Now())
	must.True(t, p.watched)
	test.Eq(t, 1, len(p.wake), test.Sprint("the last contact is too long ago for the peer to count as alive"))
}

// hubAmong reports whether one of the given nodes is the hub of this node.
func (n *node) hubAmong(nodes []*node) bool {
	for _, o := range nodes {
		n.mu.Lock()
		p := n.peers[o.Self.Address]
		n.mu.Unlock()
		if p == nil {
			continue
		}
		p.mu.Lock()
		hub := p.scope == relay.ScopeAll
		p.mu.Unlock()
		if hub {
			return true
		}
	}
	return false
}
