package share

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// newHub returns the mesh of a1, a hub that knows the requests in flight of a2, and its peer a3. It
// is connected to a2, a3 and a4.
func newHub(t *testing.T) (*Mesh, *peer) {
	m := newConnectedMesh(t, "a1", "a2", "a3", "a4")
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

// Guards against a request that a node never learns of: the node heard of it over a hub, and then
// got a list from before the request, which its node had sent on a slow connection.
func TestOlderListOfTheNodeItselfIsIgnored(t *testing.T) {
	const run = uint64(1e18)
	for _, c := range []struct {
		name string
		seq  uint64
		kept int
	}{
		{"older", run + 4, 1},
		{"the same changes", run + 5, 0},
		{"newer", run + 6, 0},
		{"restarted with its clock behind", run - 2*maxNumbersOfRun, 0},
		{"of an older build", 0, 0},
	} {
		m := newConnectedMesh(t, "a1")
		from := relay.Member{Name: "a2"}
		m.accept(&relay.Update{From: from, Reset: true, Seq: run + 3})
		m.accept(&relay.Update{From: relay.Member{Name: "a3"}, Forwarded: []relay.Update{
			{From: from, Seq: run + 5, Began: []relay.AgedRequest{{Work: works.Request{ID: 1, Node: "a2"}}}},
		}})
		m.accept(&relay.Update{From: from, Reset: true, Seq: c.seq})
		test.SliceLen(t, c.kept, m.InFlight.ByNode("a2"), test.Sprint(c.name))
	}
}

// Guards against limits, strikes and other knowledge that are lost with an old list in the same
// update, and against nodes of a group that get no list since their hub ignores it as old.
func TestRestOfAnUpdateWithAnOldListIsTaken(t *testing.T) {
	m, p := newHub(t)
	p.role = role{linked: true, direct: true, grouped: true}
	var limits []quota.Limit
	m.OnLimits = func(ls []quota.Limit) { limits = append(limits, ls...) }
	m.accept(&relay.Update{From: relay.Member{Name: "a4", Address: "a4", DataCentre: "a"}, Forwarded: []relay.Update{{
		From: relay.Member{Name: "a2"}, Reset: true, Seq: 4, Reach: relay.ScopeGroup,
		Limits: []relay.AgedLimit{{Limit: quota.Limit{Rate: 2}}},
	}}})
	test.SliceLen(t, 1, limits)
	test.SliceLen(t, 1, m.InFlight.ByNode("a2"))
	u := p.takePending()
	must.SliceLen(t, 2, u.Forwarded)
	list, rest := u.Forwarded[0], u.Forwarded[1]
	test.True(t, list.Reset)
	test.Eq(t, 5, list.Seq)
	test.SliceLen(t, 1, list.Began)
	test.False(t, rest.Reset)
	test.SliceLen(t, 1, rest.Limits)
}

// Guards against changes that are lost with the frames of a stream that is closed since its
// receiver became a hub too: they were queued after the list for the new role.
func TestChangesOfAClosedStreamAreSentAgain(t *testing.T) {
	m, p := newHub(t)
	m.fanout.delay = func() time.Duration { return time.Hour }
	near, far := net.Pipe()
	defer far.Close()
	p.role, p.Streams, p.outlet = role{linked: true, direct: true, grouped: true}, true, m.fanout.join(near)
	p.setRole(role{linked: true, direct: true, scope: relay.ScopeGroup}, time.Now())
	p.takePending()
	limits := []quota.Limit{{Rate: 2}}
	m.Limits = func() []quota.Limit { return limits }
	w := works.Request{ID: 3, Node: "a1", First: "e"}
	m.InFlight.Put(w)
	m.AnnounceStart(w)
	m.AnnounceLimits(limits...)
	must.NoError(t, p.updateStream(t.Context()))
	u := p.takePending()
	test.SliceLen(t, 1, u.Began)
	test.SliceLen(t, 1, u.Limits)
}

// Guards against limits, statements and parts that a node never learns of: they became known
// while it was connected but got no updates from its hub, or over a connection for a call.
func TestPeerThatGetsUpdatesLearnsWhatItMissed(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new role
		want     int
	}{
		{"joins the group", role{linked: true}, role{linked: true, direct: true, grouped: true}, 1},
		{"linked after a call", role{}, role{linked: true}, 1},
		{"linked no longer", role{linked: true}, role{}, 0},
		{"new hub, which would pass it on to all", role{linked: true}, role{linked: true, direct: true, scope: relay.ScopeAll}, 0},
	} {
		m, p := newHub(t)
		m.Limits = func() []quota.Limit { return []quota.Limit{{Rate: 2}} }
		p.role = c.old
		p.setRole(c.new, time.Now())
		test.SliceLen(t, c.want, p.takePending().Limits, test.Sprint(c.name))
	}
}
