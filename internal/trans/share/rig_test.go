package share

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// sweepInterval is the time between two calls of Sweep.
const sweepInterval = 100 * time.Millisecond

// node is a mesh that listens on the loopback interface.
type node struct {
	*Mesh
	t    testing.TB
	stop context.CancelFunc
	// onLimits and limits are used by the mesh if they are set.
	onLimits atomic.Pointer[func([]quota.Limit)]
	limits   atomic.Pointer[[]quota.Limit]
	// suspected are the parts that the node tells a new peer, parts and proofs what it
	// has heard of.
	suspected     atomic.Pointer[[]strik.PartState]
	parts, proofs chan ident.PartID
	// trials are the trials of barred parts that peers have begun or ended.
	trials chan strik.Trial
	// stated and rests are what endpoints stated to peers, decided what peers decided on
	// prompts.
	stated  chan avail.State
	rests   chan avail.Rest
	decided chan bysize.Decision
	// leaving is the status of the node.
	leaving atomic.Bool
}

func (n *node) setOnLimits(f func([]quota.Limit)) { n.onLimits.Store(&f) }

func (n *node) setLimits(ls []quota.Limit) { n.limits.Store(&ls) }

// start runs nodes that are connected to each other. The first letter of a name
// is the node's data centre.
func start(t testing.TB, names ...string) []*node {
	var ns []*node
	for _, name := range names {
		ns = append(ns, startNode(t, name))
	}
	for _, n := range ns {
		for _, o := range ns {
			n.AddPeer(o.Self.Address)
		}
	}
	for _, n := range ns {
		for len(n.aliveNodes(time.Now())) < len(ns) {
			time.Sleep(time.Millisecond)
		}
		n.Sweep(time.Now())
	}
	return ns
}

// startNode runs a node that knows no others.
func startNode(t testing.TB, name string) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	m := &Mesh{
		Self:     relay.Member{Name: ident.NodeName(name), Address: l.Addr().String(), DataCentre: ident.DataCentre(name[:1])},
		InFlight: &works.Table{}, Logger: zerolog.Nop(), HubThreshold: 3,
		OnFailed: func([]ident.EndpointName) {}, OnStruck: func([]strik.Strike) {},
	}
	done := make(chan struct{})
	n := &node{Mesh: m, t: t, stop: func() { cancel(); <-done }, parts: make(chan ident.PartID, 100), proofs: make(chan ident.PartID, 100), trials: make(chan strik.Trial, 100), stated: make(chan avail.State, 100), rests: make(chan avail.Rest, 100), decided: make(chan bysize.Decision, 100)}
	m.Status = func() (bool, bool) { return false, n.leaving.Load() }
	m.State = func(relay.StateArgs) relay.State { return relay.State{} }
	m.Permit = func(quota.Key) relay.Permit { return relay.Permit{Granted: true} }
	m.Availability = func() []avail.State { return nil }
	m.OnAvailability = func(ss []avail.State) { n.stated <- ss[0] }
	m.Rests = func() []avail.Rest { return nil }
	m.OnRests = func(rs []avail.Rest) { n.rests <- rs[0] }
	m.OnDecisions = func(ds []bysize.Decision) { n.decided <- ds[0] }
	m.PartStates = func() []strik.PartState {
		if ps := n.suspected.Load(); ps != nil {
			return *ps
		}
		return nil
	}
	m.OnPartStates = func(ps []strik.PartState) { n.parts <- ps[0].Part }
	m.OnTrials = func(ts []strik.Trial) { n.trials <- ts[0] }
	m.OnProofs = func(ps []strik.Proof) { n.proofs <- ps[0].Parts[0] }
	m.Limits = func() []quota.Limit {
		if ls := n.limits.Load(); ls != nil {
			return *ls
		}
		return nil
	}
	m.OnLimits = func(ls []quota.Limit) {
		if f := n.onLimits.Load(); f != nil {
			(*f)(ls)
		}
	}
	m.Init(ctx)
	go func() { m.Run(ctx, l); close(done) }()
	go n.sweep(ctx)
	return n
}

// sweep calls Sweep at intervals, as a node does.
func (n *node) sweep(ctx context.Context) {
	delay.Every(ctx, sweepInterval, n.Sweep)
}
