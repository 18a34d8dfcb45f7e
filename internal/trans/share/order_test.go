package share

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// newConnectedMesh returns the mesh of a node that is connected to others, which
// don't answer. The address of a node is its name, and the first letter of the name
// is its data centre.
func newConnectedMesh(t *testing.T, self string, others ...string) *Mesh {
	m := &Mesh{Self: relay.Member{Name: ident.NodeName(self), Address: self, DataCentre: ident.DataCentre(self[:1])}, InFlight: &works.Table{}}
	knowNothing(m)
	m.Init(context.Background())
	for _, n := range others {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		go io.Copy(io.Discard, far)
		m.peers[n] = &peer{
			mesh: m, address: n, Member: relay.Member{Name: ident.NodeName(n), Address: n, DataCentre: ident.DataCentre(n[:1])},
			client: rpc.NewClient(near), wake: make(chan struct{}, 1), lastSeen: time.Now(), running: true, role: role{linked: true, watched: true},
		}
	}
	return m
}

// knowNothing makes a mesh tell new peers nothing of endpoints and parts of prompts.
func knowNothing(m *Mesh) {
	m.Limits = func() []quota.Limit { return nil }
	m.PartStates = func() []strik.PartState { return nil }
	m.Availability = func() []avail.State { return nil }
	m.Rests = func() []avail.Rest { return nil }
}

func TestReadersAreOneOfEachDataCentre(t *testing.T) {
	for _, c := range []struct{ self, others, dead, want string }{
		{"b2", "a1 a2 b1 c1 c2", "", "b1 a1 c1"},
		{"b1", "a1 a2 b2 c1 c2", "", "b1 a1 c1"},
		{"b2", "a1 a2 b1 c1 c2", "b1 a1", "b2 a2 c1"},
		{"a3", "a1 a2", "", "a1 a2"},
		{"a3", "a1 a2", "a1", "a2 a3"},
		{"a1", "", "", "a1"},
		{"a2", "a1 b1", "", "a1 b1"},
	} {
		m := newConnectedMesh(t, c.self, strings.Fields(c.others)...)
		for _, n := range strings.Fields(c.dead) {
			m.peers[n].lastSeen = time.Now().Add(-time.Minute)
		}
		test.Eq(t, c.want, strings.Join(m.Readers(time.Now()), " "), test.Sprint(c.self, " with ", c.others, " without ", c.dead))
	}
}

// Guards against a node that sends a large configuration to more nodes than its network link
// can serve, and against nodes that wait for each other.
func TestRelaysFormATree(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("a%02d", i))
	}
	children := map[string]int{}
	for i, self := range names {
		m := newConnectedMesh(t, self, names...)
		delete(m.peers, self)
		relays := m.Relays(time.Now())
		if i < relayFanout {
			test.SliceEmpty(t, relays)
			continue
		}
		children[relays[0]]++
		for j, r := range relays {
			later := append([]string{self}, relays...)[j]
			test.Less(t, later, r, test.Sprint("relays are nearer to the root"))
		}
	}
	for n, c := range children {
		test.LessEq(t, relayFanout, c, test.Sprint(n))
	}
}

// Guards against pending limits, strikes and parts that are dropped when a peer begins to get
// this node's requests directly.
func TestPeerThatBecomesDirectGetsWhatIsPending(t *testing.T) {
	m := newConnectedMesh(t, "a1", "a2")
	p := m.peers["a2"]
	p.pending.Parts = []relay.AgedPart{{}}
	p.pending.Limits = []relay.AgedLimit{{}}
	p.pending.Done = []works.ID{1}
	m.replan(time.Now())
	test.True(t, p.direct)
	test.True(t, p.pending.Reset)
	test.SliceLen(t, 1, p.pending.Parts)
	test.SliceLen(t, 1, p.pending.Limits)
	test.SliceEmpty(t, p.pending.Done)
}

// Guards against a data race on the name of a node that is removed while its member record
// changes, which would garble the name in the log.
func TestNodeIsRemovedWhileItIsHeardOf(t *testing.T) {
	m := newConnectedMesh(t, "a1", "a2")
	m.Logger = zerolog.Nop()
	p := m.peers["a2"]
	heard := make(chan struct{})
	go func() {
		for range 1000 {
			p.mu.Lock()
			p.Member = relay.Member{Name: "a2", Address: "a2", DataCentre: "a"}
			p.mu.Unlock()
		}
		close(heard)
	}()
	for range 1000 {
		m.forget(p, nil)
	}
	<-heard
	test.MapEmpty(t, m.peers)
}
