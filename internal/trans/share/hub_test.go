package share

import (
	"context"
	"net"
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
			as = append(as, string(p.centre))
		}
		p.mu.Unlock()
	}
	return strings.Join(as, "")
}

func (n *node) waitFor(work works.ID, from ident.NodeName, there bool) {
	for {
		found := false
		for _, w := range n.Works.Of(from) {
			found = found || w.ID == work
		}
		if found == there {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestOneNodeOfADataCentrePassesWorksOn(t *testing.T) {
	ns := start(t, "a1", "a2", "b1", "b2", "b3", "c1")
	a1 := ns[0]
	test.Eq(t, 1, strings.Count(a1.direct(), "a"))
	test.Eq(t, 1, strings.Count(a1.direct(), "b"))
	test.Eq(t, 1, strings.Count(a1.direct(), "c"))
	w := works.Work{ID: 7, Node: "a1", First: "e", Since: time.Now().Add(-time.Second)}
	a1.Works.Put(w)
	a1.Began(w)
	for _, n := range ns[1:] {
		n.waitFor(7, "a1", true)
		test.GreaterEq(t, time.Second, time.Since(n.Works.Of("a1")[0].Since), test.Sprint("the age is kept on the way"))
	}
	a1.Wrote(7)
	a1.Works.Done("a1", 7)
	a1.Done(7)
	for _, n := range ns[1:] {
		n.waitFor(7, "a1", false)
	}
}

func TestAnotherNodePassesWorksOnIfOneDies(t *testing.T) {
	ns := start(t, "a1", "b1", "b2", "b3")
	a1 := ns[0]
	w := works.Work{ID: 7, Node: "a1", First: "e", Since: time.Now()}
	a1.Works.Put(w)
	var left []*node
	for _, n := range ns[1:] {
		a1.mu.Lock()
		p := a1.peers[n.Self.Address]
		a1.mu.Unlock()
		p.mu.Lock()
		hub := p.hub
		p.mu.Unlock()
		if hub {
			n.stop()
			continue
		}
		left = append(left, n)
	}
	must.SliceLen(t, 2, left)
	for strings.Count(a1.direct(), "b") != 1 || !a1.hubAmong(left) {
		a1.Sweep(time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range left {
		n.waitFor(7, "a1", true)
	}
}

// hubAmong reports whether one of some nodes passes this node's works on.
func (n *node) hubAmong(some []*node) bool {
	for _, o := range some {
		n.mu.Lock()
		p := n.peers[o.Self.Address]
		n.mu.Unlock()
		p.mu.Lock()
		hub := p.hub
		p.mu.Unlock()
		if hub {
			return true
		}
	}
	return false
}
