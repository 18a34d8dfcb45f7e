package share

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// newHub returns the mesh of a1, a hub that knows the requests in flight of a2, and its peer a3,
// to which it is connected.
func newHub(t *testing.T) (*Mesh, *peer) {
	m := newConnectedMesh(t, "a1", "a2", "a3")
	m.isHub.Store(true)
	m.accept(&relay.Update{
		From: relay.Member{Name: "a2", Address: "a2", DataCentre: "a"}, Reset: true, Seq: 5,
		Began: []relay.AgedRequest{{Work: works.Request{ID: 7, Node: "a2", First: "e"}}},
	})
	return m, m.peers["a3"]
}

// Guards against a node that never learns the requests of others: its hub connected to it before
// it knew its name, sent its own requests as to any peer, and took that for all.
func TestPeerThatJoinsTheGroupGetsTheRequestsOfOthers(t *testing.T) {
	grouped := role{linked: true, direct: true, grouped: true}
	for _, c := range []struct {
		name string
		old  role
	}{
		{"direct before", role{linked: true, direct: true, watched: true}},
		{"not direct before", role{linked: true}},
		{"a hub before", role{linked: true, direct: true, scope: relay.ScopeGroup}},
	} {
		_, p := newHub(t)
		p.role = c.old
		p.setRole(grouped, time.Now())
		u := p.takePending()
		must.SliceLen(t, 1, u.Forwarded, must.Sprint(c.name))
		test.Eq(t, ident.NodeName("a2"), u.Forwarded[0].From.Name, test.Sprint(c.name))
		test.True(t, u.Forwarded[0].Reset, test.Sprint(c.name))
		test.SliceLen(t, 1, u.Forwarded[0].Began, test.Sprint(c.name))
		p.setRole(grouped, time.Now())
		test.SliceEmpty(t, p.takePending().Forwarded, test.Sprint(c.name, ": a role that stays sends nothing again"))
	}
}
