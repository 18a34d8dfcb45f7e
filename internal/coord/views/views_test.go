package views

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/ident"
)

// fleet returns nodes spread over data centres, three strong ones in each.
func fleet(nodes, dataCentres int) []Member {
	var ms []Member
	for i := range nodes {
		m := Member{Name: ident.NodeName(fmt.Sprintf("n%03d", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc", i%dataCentres)), Cores: 0.2, Alive: true, Streams: true}
		if i < 3*dataCentres {
			m.Cores = 0.8
		}
		ms = append(ms, m)
	}
	Sort(ms)
	return ms
}

// scope is how far a node that is told of an update passes it on.
type scope int

const (
	nowhere scope = iota
	toGroup
	toDataCentre
	toAll
)

// spread returns how often each node that is alive is told of an update of a node, if
// all nodes act by their plans.
func spread(from Member, ms []Member) map[ident.NodeName]int {
	byName := map[ident.NodeName]Member{}
	for _, m := range ms {
		byName[m.Name] = m
	}
	told := map[ident.NodeName]int{}
	var tell func(to ident.NodeName, s scope)
	pass := func(n Member, s scope) {
		p := For(n, ms)
		for g := range p.Group {
			if g != from.Name {
				tell(g, nowhere)
			}
		}
		if s >= toDataCentre {
			for h := range p.Siblings {
				tell(h, toGroup)
			}
		}
		if s == toAll {
			for h := range p.RemoteHubs {
				tell(h, toDataCentre)
			}
		}
	}
	tell = func(to ident.NodeName, s scope) {
		if !byName[to].Alive {
			return
		}
		told[to]++
		if s > nowhere {
			pass(byName[to], s)
		}
	}
	p := For(from, ms)
	if p.IsHub {
		pass(from, toAll)
	} else {
		tell(p.Hub, toAll)
	}
	delete(told, from.Name)
	return told
}

func TestEachUpdateReachesEachNodeOnce(t *testing.T) {
	for _, c := range []struct {
		name              string
		nodes, dataCentre int
		dead              []ident.NodeName
	}{
		{"middle", 24, 3, nil},
		{"large", 195, 5, nil},
		{"design size", 320, 14, nil},
		{"few nodes in many data centres", 26, 13, nil},
		{"a hub is lost", 195, 5, []ident.NodeName{"n000"}},
		{"a hub and its deputy are lost", 195, 5, []ident.NodeName{"n000", "n005"}},
		{"all strong nodes of a data centre are lost", 195, 5, []ident.NodeName{"n000", "n005", "n010"}},
	} {
		ms := fleet(c.nodes, c.dataCentre)
		alive := 0
		for i := range ms {
			for _, d := range c.dead {
				ms[i].Alive = ms[i].Alive && ms[i].Name != d
			}
			if ms[i].Alive {
				alive++
			}
		}
		for _, from := range ms {
			if !from.Alive {
				continue
			}
			told := spread(from, ms)
			must.MapLen(t, alive-1, told, must.Sprint(c.name, ": nodes told by ", from.Name))
			for n, times := range told {
				must.Eq(t, 1, times, must.Sprint(c.name, ": ", n, " is told by ", from.Name))
			}
		}
	}
}

// Guards against nodes that hear nothing while the fleet is upgraded: a hub of an older
// build sends to its whole data centre and knows no siblings.
func TestUpdatesReachAllNodesBesideAnOlderBuild(t *testing.T) {
	for _, old := range []ident.NodeName{"n000", "n005", "n011", "n150"} {
		ms := fleet(195, 5)
		for i := range ms {
			ms[i].Streams = ms[i].Name != old
		}
		for _, from := range ms {
			must.MapLen(t, len(ms)-1, spread(from, ms), must.Sprint(old, " is old, told by ", from.Name))
		}
	}
}

// Guards against a node whose connections, memory and heartbeats grow with the fleet.
func TestViewsDependOnTheDataCentreAlone(t *testing.T) {
	sizes := func(nodes, dataCentres int) (member, hub, watched int) {
		ms := fleet(nodes, dataCentres)
		for _, m := range ms {
			p := For(m, ms)
			if p.IsHub {
				hub = max(hub, len(p.Linked))
			} else {
				member = max(member, len(p.Linked))
			}
			watched = max(watched, len(p.Watched))
		}
		return member, hub, watched
	}
	const perDataCentre = 23
	smallMember, _, _ := sizes(3*perDataCentre, 3)
	for _, dataCentres := range []int{5, 8, 14} {
		member, hub, watched := sizes(dataCentres*perDataCentre, dataCentres)
		test.LessEq(t, smallMember, member, test.Sprint(dataCentres, " data centres: a node that is no hub"))
		test.LessEq(t, perDataCentre-1+(dataCentres-1)*hubsPerDataCentre, hub, test.Sprint(dataCentres, " data centres: a hub"))
		test.LessEq(t, Candidates+(dataCentres-1)*hubsPerDataCentre, watched)
	}
	test.LessEq(t, Candidates+1, smallMember)
}

func TestNodeWithoutAHubOfThisBuildKeepsAllConnections(t *testing.T) {
	ms := fleet(30, 3)
	for i := range ms {
		ms[i].Streams = ms[i].Cores < 0.8
	}
	p := For(ms[len(ms)-1], ms)
	must.False(t, p.IsHub)
	test.MapLen(t, len(ms)-1, p.Linked)
}
