package reach_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/pkg/ident"
)

const endpoints = 20

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestIsolation(t *testing.T) {
	l := reach.New()
	l.Hear(at(0))
	for i, n := range []ident.EndpointName{"a", "b", "c"} {
		test.False(t, l.Isolated(endpoints))
		test.True(t, l.Lose(n, at(10+i)))
		test.False(t, l.Lose(n, at(20+i)))
	}
	test.True(t, l.Isolated(endpoints))
	test.False(t, l.Direct("d", endpoints), test.Sprint("all links are lost"))

	l.Hear(at(50))
	test.False(t, l.Isolated(endpoints), test.Sprint("open connections live on"))
	test.True(t, l.Direct("d", endpoints))
	test.False(t, l.Direct("a", endpoints))
}

func TestFewEndpoints(t *testing.T) {
	l := reach.New()
	test.False(t, l.Isolated(1))
	l.Lose("a", at(10))
	test.True(t, l.Isolated(1))
	test.False(t, l.Isolated(2))
}

// Guards against a node that keeps sending over its peers after its links are back.
func TestLinksAreCheckedAndRestored(t *testing.T) {
	l := reach.New()
	for i, n := range []ident.EndpointName{"a", "b", "c", "gone"} {
		l.Lose(n, at(i))
	}
	exists := func(n ident.EndpointName) bool { return n != "gone" }
	test.SliceEmpty(t, l.DueChecks(at(500), exists))
	test.SliceLen(t, 3, l.DueChecks(at(1100), exists))
	test.SliceEmpty(t, l.DueChecks(at(1200), exists))
	l.Restore("b", endpoints, at(1300))
	test.Zero(t, l.Len(), test.Sprint("the node was isolated, so all links are back"))

	l.Lose("a", at(2000))
	l.Lose("b", at(2000))
	l.Restore("b", endpoints, at(2100))
	test.False(t, l.Direct("a", endpoints), test.Sprint("the node was not isolated"))
}

// Guards against checks while a sound endpoint is silent for a moment beside others, and
// against checks of calm nodes.
func TestSilenceCheck(t *testing.T) {
	l := reach.New()
	l.Hear(at(0))
	test.False(t, l.StartSilenceCheck(at(300), at(700)), test.Sprint("the request is young"))
	test.True(t, l.StartSilenceCheck(at(100), at(700)))
	test.False(t, l.StartSilenceCheck(at(100), at(1000)), test.Sprint("checked a moment ago"))
	l.Hear(at(1900))
	test.False(t, l.StartSilenceCheck(at(100), at(2000)), test.Sprint("another link is alive"))
	test.True(t, l.StartSilenceCheck(at(100), at(2400)))
}

// Guards against a data centre whose nodes are all cut and send over each other only.
func TestCandidatesAreOfSeveralDataCentres(t *testing.T) {
	var ps []reach.Peer
	for _, n := range []ident.NodeName{"a1", "a2", "a3", "a4", "b1", "b2"} {
		requests := 0
		if n[0] == 'b' {
			requests = 20
		}
		ps = append(ps, reach.Peer{Name: n, DataCentre: ident.DataCentre(n[:1]), Requests: requests})
	}
	tried := ident.Set[ident.NodeName]{}
	for i := range 100 {
		cs := reach.Candidates(ps, "a", func() float64 { return float64(i) / 100 })
		test.SliceLen(t, 3, cs)
		test.Eq(t, "b", cs[1].DataCentre)
		for _, c := range cs {
			tried.Add(c.Name)
		}
	}
	test.MapLen(t, len(ps), tried)
	test.SliceLen(t, 1, reach.Candidates(ps[:1], "a", func() float64 { return 0.99 }))
	test.SliceEmpty(t, reach.Candidates(nil, "a", func() float64 { return 0.99 }))
}

func TestOrderOfPeers(t *testing.T) {
	same := func() float64 { return 0 }
	ps := []reach.Peer{
		{Name: "isolated", DataCentre: "a", Isolated: true},
		{Name: "leaving", DataCentre: "a", Leaving: true},
		{Name: "remote", DataCentre: "b"},
		{Name: "loaded", DataCentre: "a", Requests: 9},
		{Name: "local", DataCentre: "a"},
		{Name: "strong", DataCentre: "a", Requests: 9, Cores: 20},
	}
	var names []ident.NodeName
	for _, p := range reach.Order(ps, "a", same) {
		names = append(names, p.Name)
	}
	test.Eq(t, []ident.NodeName{"strong", "local", "remote", "loaded", "leaving"}, names)
}
