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

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// node is a mesh that runs on loopback.
type node struct {
	*Mesh
	stop context.CancelFunc
}

// start runs nodes that know each other. The first letter of a name is the
// node's data centre.
func start(t *testing.T, names ...string) []*node {
	var ns []*node
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		m := &Mesh{
			Self:  relay.Member{Name: ident.NodeName(name), Address: l.Addr().String(), DataCentre: ident.DataCentre(name[:1])},
			Works: &works.Table{}, Logger: zerolog.Nop(), HubsFrom: 3,
			Failed: func([]ident.EndpointName) {}, Struck: func([]strik.Strike) {},
		}
		m.Init(ctx)
		done := make(chan struct{})
		go func() { m.Run(ctx, l); close(done) }()
		ns = append(ns, &node{m, func() { cancel(); <-done }})
		t.Cleanup(cancel)
	}
	for _, n := range ns {
		for _, o := range ns {
			n.Meet(o.Self.Address)
		}
	}
	for _, n := range ns {
		for len(n.Readers(len(ns), time.Now())) < len(ns) {
			time.Sleep(time.Millisecond)
		}
		n.Sweep(time.Now())
	}
	return ns
}

// direct lists the peers that a node tells straight.
func (n *node) direct() string {
	var as []string
	for _, p := range n.all() {
		p.mu.Lock()
		if p.told {
			as = append(as, string(p.DataCentre))
		}
		p.mu.Unlock()
	}
	return strings.Join(as, "")
}

func (n *node) waitFor(work works.ID, from ident.NodeName, there bool) {
	for {
		found := false
		for _, w := range n.Works.ByNode(from) {
			found = found || w.ID == work
		}
		if found == there {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHubsPassWorksOn(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1")
	test.Eq(t, 1, len(ns[2].direct()), test.Sprint("a node tells its hub alone"))
	a1 := ns[0]
	test.Eq(t, 3, strings.Count(a1.direct(), "a"), test.Sprint("a hub tells all of its data centre"))
	test.Eq(t, 1, strings.Count(a1.direct(), "b"))
	test.Eq(t, 1, strings.Count(a1.direct(), "c"))
	for i, from := range []*node{ns[0], ns[3], ns[6], ns[7]} {
		id, name := works.ID(i+1), from.Self.Name
		w := works.Request{ID: id, Node: name, First: "e", Since: time.Now().Add(-time.Second)}
		from.Works.Put(w)
		from.Began(w)
		for _, n := range ns {
			n.waitFor(id, name, true)
			test.GreaterEq(t, time.Second, time.Since(n.Works.ByNode(name)[0].Since), test.Sprint("the age is kept on the way"))
		}
		from.Wrote(id)
		from.Works.Remove(name, id)
		from.Done(id)
		for _, n := range ns {
			n.waitFor(id, name, false)
		}
	}
}

func TestAnotherNodePassesWorksOnIfAHubDies(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4", "b1", "b2")
	a4 := ns[3]
	w := works.Request{ID: 7, Node: "a4", First: "e", Since: time.Now()}
	a4.Works.Put(w)
	left := ns
	for i, n := range ns[:2] {
		if a4.hubAmong([]*node{n}) {
			n.stop()
			left = slices.Delete(slices.Clone(ns), i, i+1)
		}
	}
	must.SliceLen(t, len(ns)-1, left)
	// Each node sweeps now and then; they see the death at different moments.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, n := range left {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(i+1) * 10 * time.Millisecond)
				n.Sweep(time.Now())
			}
		}()
	}
	for _, n := range left {
		n.waitFor(7, "a4", true)
	}
	test.True(t, a4.hubAmong(left))
}

func TestNewNodeLearnsOfWorksFromAHub(t *testing.T) {
	ns := start(t, "a1", "a2", "a3", "a4")
	w := works.Request{ID: 7, Node: "a4", First: "e", Since: time.Now()}
	ns[3].Works.Put(w)
	ns[3].Began(w)
	ns[0].waitFor(7, "a4", true)
	late := start(t, "a5")[0]
	for _, n := range ns {
		n.Meet(late.Self.Address)
	}
	late.waitFor(7, "a4", true)
}

func TestCandidateIsCalledAtOnce(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	m := &Mesh{Self: relay.Member{Name: "a9", Address: "9", DataCentre: "a"}, Works: &works.Table{}, HubsFrom: 1}
	m.Init(context.Background())
	p := &peer{
		mesh: m, Member: relay.Member{Name: "a1", Address: "1", DataCentre: "a"}, client: rpc.NewClient(near),
		wake: make(chan struct{}, 1), heard: time.Now().Add(-9 * time.Second),
	}
	m.peers["1"] = p
	m.chooseHubs(time.Now())
	must.True(t, p.close)
	test.Eq(t, 1, len(p.wake), test.Sprint("it was heard too long ago to count as alive"))
}

// hubAmong reports whether one of some nodes passes this node's works on.
func (n *node) hubAmong(some []*node) bool {
	for _, o := range some {
		n.mu.Lock()
		p := n.peers[o.Self.Address]
		n.mu.Unlock()
		if p == nil {
			continue
		}
		p.mu.Lock()
		hub := p.reach == relay.ReachAll
		p.mu.Unlock()
		if hub {
			return true
		}
	}
	return false
}
