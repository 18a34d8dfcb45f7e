package edge

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/share"
	"laburnumstack.org/laburnum/pkg/ident"
)

// testNode is a node that only exchanges state and requests in flight with its
// peers.
type testNode struct {
	*stateSync
	works *works.Table
	link  *link
}

// decodeVersion decodes a configuration that consists of its version alone.
func decodeVersion(raw []byte) (*topol.Catalog, error) {
	if len(raw) != 1 {
		return nil, errors.New("not a version")
	}
	return &topol.Catalog{Version: ident.Version(raw[0]), Raw: raw}, nil
}

func newTestNodes(t *testing.T, names ...string) []*testNode {
	ctx, cancel := context.WithCancel(context.Background())
	var ps []*testNode
	ended := make(chan struct{}, len(names))
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		p := &testNode{works: &works.Table{}, link: newLink(l)}
		m := &share.Mesh{Self: relay.Member{Name: ident.NodeName(name), Address: l.Addr().String()}, InFlight: p.works, Logger: zerolog.Nop()}
		m.OnFailed, m.OnStruck = func([]ident.EndpointName) {}, func([]strik.Strike) {}
		m.Availability, m.OnAvailability = func() []avail.State { return nil }, func([]avail.State) {}
		m.Rests, m.OnRests = func() []avail.Rest { return nil }, func([]avail.Rest) {}
		m.OnProofs, m.OnPartStates, m.PartStates = func([]strik.Proof) {}, func([]strik.PartState) {}, func() []strik.PartState { return nil }
		m.Limits, m.OnLimits = func() []quota.Limit { return nil }, func([]quota.Limit) {}
		m.Init(ctx)
		p.stateSync = newStateSync(&feeds.Feeds{Logger: zerolog.Nop()}, m, decodeVersion, zerolog.Nop())
		go func() { m.Run(ctx, p.link); ended <- struct{}{} }()
		ps = append(ps, p)
	}
	t.Cleanup(func() {
		cancel()
		for range names {
			<-ended
		}
	})
	for _, p := range ps {
		for _, q := range ps {
			p.mesh.AddPeer(q.mesh.Self.Address)
		}
	}
	for _, p := range ps {
		for !p.isConnectedTo(len(ps) - 1) {
			time.Sleep(time.Millisecond)
		}
	}
	return ps
}

// isConnectedTo reports whether the node is connected to as many peers and knows
// their names.
func (p *testNode) isConnectedTo(peers int) bool {
	unnamed := slices.ContainsFunc(p.mesh.Members(), func(m relay.Member) bool { return m.Name == "" })
	return !unnamed && len(p.mesh.ConnectedAddresses()) == peers
}

// servedByReader reports whether another node reads a stream for this one.
func (s *stateSync) servedByReader(st feeds.Stream) bool { return s.servedFor(st) > 0 }

// setState gives a node a configuration and an endpoint list that were last
// confirmed the given time ago.
func (p *testNode) setState(version byte, age time.Duration) {
	c, _ := decodeVersion([]byte{version})
	p.feeds.UpdateCatalog(c)
	at := clock.Now().Add(-age)
	p.feeds.ConfirmCatalog(at)
	p.feeds.MergeEvacuations(feeds.Evacuations{ConfirmedAt: at}, feeds.Position{})
	p.feeds.UpdateEndpoints([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, at)
}

func TestNodesFetchStateFromReaders(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c", "d")
	ps[0].setState(7, 500*time.Millisecond)
	sentAt := clock.Now()
	ps[3].pull()
	must.NotNil(t, ps[3].feeds.Catalog())
	test.Eq(t, 7, ps[3].feeds.Catalog().Version)
	test.True(t, ps[3].servedByReader(feeds.Configuration))
	test.MapLen(t, 1, ps[3].feeds.Endpoints().ByName)
	// The fetched state must not look fresher than it was at the reader.
	test.LessEq(t, sentAt.Add(-400*time.Millisecond), ps[3].feeds.CatalogConfirmedAt())
	test.False(t, ps[0].servedByReader(feeds.Configuration), test.Sprint("a reader reads the store itself"))
}

// Guards against a data centre that is late because the store answers its reader
// late: a reader takes newer versions from the others.
func TestReaderTakesNewerVersionFromOtherReader(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(7, time.Minute)
	ps[1].setState(8, 0)
	confirmed := ps[0].feeds.CatalogConfirmedAt()
	ps[0].pull()
	test.Eq(t, 8, ps[0].feeds.Catalog().Version)
	test.Eq(t, confirmed, ps[0].feeds.CatalogConfirmedAt(), test.Sprint("it reads the store itself"))
}

func TestNodeIsNotServedByReaderWithOldState(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(7, time.Minute)
	ps[1].setState(7, time.Minute)
	before := clock.Now()
	ps[2].pull()
	turn := ps[2].turnAt[feeds.Configuration].Load()
	test.Between(t, before.Add(turnDelay(2)), turn, clock.Now().Add(turnDelay(2)))
	for clock.Now() < turn {
		time.Sleep(time.Millisecond)
	}
	ps[2].pull()
	test.Eq(t, turn, ps[2].turnAt[feeds.Configuration].Load(), test.Sprint("a further pull postpones it"))
	test.False(t, ps[2].servedByReader(feeds.Configuration), test.Sprint("its turn has come"))
	test.Eq(t, 7, ps[2].feeds.Catalog().Version, test.Sprint("old state is better than none"))
}

// Guards against CONFIG, the fallback that costs more than what it stands in for: while
// the store is down or comes back, most nodes must leave it to the first ones.
func TestFewNodesStandInForTheReaders(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	ps := newTestNodes(t, names...)
	for _, p := range ps {
		p.setState(7, time.Minute)
	}
	began := clock.Now()
	for _, p := range ps[2:] {
		p.pull()
	}
	for i, p := range ps[2:] {
		test.GreaterEq(t, began.Add(turnDelay(2+i)), p.turnAt[feeds.Endpoints].Load())
	}
	test.GreaterEq(t, 2*time.Second, turnDelay(4))
	test.Less(t, 500*time.Millisecond, turnDelay(3))

	// A node that stands in for the readers serves the others.
	ps[2].setState(7, 0)
	ps[5].pull()
	test.True(t, ps[5].servedByReader(feeds.Configuration))
	test.True(t, ps[5].servedByReader(feeds.Endpoints))
}

// Guards against a node that learns of an evacuation only after many seconds, since the nodes from
// which it pulls are of an older build: they have a fresh configuration, and tell no evacuations.
func TestNodeAmongOlderBuildsReadsTheStoreSoon(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c", "d", "e", "f")
	for _, p := range ps[:5] {
		c, _ := decodeVersion([]byte{7})
		p.feeds.UpdateCatalog(c)
		p.feeds.ConfirmCatalog(clock.Now())
		p.feeds.UpdateEndpoints([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, clock.Now())
	}
	ps[5].pull()
	test.LessEq(t, clock.Now().Add(turnDelay(firstTurns-1)), ps[5].turnAt[feeds.Configuration].Load())
	test.True(t, ps[5].servedByReader(feeds.Endpoints), test.Sprint("their list is as good as any"))
}

func TestNodeWithoutPeersReadsTheStoreAtOnce(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	p.setTurns(freshness{}, 0)
	p.isReader.Store(false)
	test.False(t, p.servedByReader(feeds.Configuration))
	test.False(t, p.servedByReader(feeds.Endpoints))
}

// After an outage of the store, a reader keeps the endpoints of before for a while. So
// do the others, instead of reading the store all at once.
func TestNodeIsServedByAReaderThatRecovers(t *testing.T) {
	// A machine that stands still for the grace period makes the pull come too late.
	for range 20 {
		if pullFromRecovering(t) {
			return
		}
	}
	t.Fatal("no pull came within the grace period of the readers")
}

// pullFromRecovering checks a pull from readers that recover from an outage of the store. It
// returns false, and has checked nothing, if their grace period ended meanwhile.
func pullFromRecovering(t *testing.T) bool {
	ps := newTestNodes(t, "a", "b", "c")
	must.False(t, ps[0].state(relay.StateArgs{}).Recovering, must.Sprint("it has no list"))
	readers := ps[:2]
	var sources []*flakySource
	for _, p := range readers {
		p.setState(7, 0)
		source := &flakySource{}
		sources = append(sources, source)
		p.feeds.Source, p.feeds.Decoder = source, noDecoder{}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { p.feeds.Run(ctx); close(ended) }()
		t.Cleanup(func() { cancel(); <-ended })
	}
	for _, p := range readers {
		for !p.feeds.SourceDown() {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(1200 * time.Millisecond)
	for _, source := range sources {
		source.up.Store(true)
	}
	areRecovering := func() bool {
		return readers[0].state(relay.StateArgs{}).Recovering && readers[1].state(relay.StateArgs{}).Recovering
	}
	for end := clock.Now().Add(10 * time.Second); !areRecovering(); time.Sleep(time.Millisecond) {
		if clock.Now() > end {
			return false
		}
	}
	before := clock.Now()
	ps[2].pull()
	if !areRecovering() {
		return false
	}
	test.False(t, ps[2].isReader.Load())
	test.GreaterEq(t, before, ps[2].servedAt[feeds.Endpoints].Load())
	test.Zero(t, ps[2].turnAt[feeds.Endpoints].Load())
	test.Nil(t, ps[2].feeds.Endpoints(), test.Sprint("the list of a reader that recovers isn't taken"))
	return true
}

// flakySource is a source without records that fails until up is set.
type flakySource struct {
	unreachableSource
	up atomic.Bool
}

func (s *flakySource) Newest(context.Context, feeds.Stream) (feeds.Page, error) {
	if !s.up.Load() {
		return feeds.Page{}, errors.New("unreachable")
	}
	return feeds.Page{Era: 1}, nil
}

func (s *flakySource) Read(ctx context.Context, _ feeds.Stream, from ident.Offset, wait time.Duration) (feeds.Page, error) {
	delay.For(ctx, wait)
	return feeds.Page{Next: from, Era: 1}, nil
}

// noDecoder is never called: flakySource has no records.
type noDecoder struct{ feeds.Decoder }

func TestNewerVersionIsKept(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(7, 0)
	ps[2].setState(9, time.Minute)
	before := ps[2].feeds.CatalogConfirmedAt()
	ps[2].pull()
	test.Eq(t, 9, ps[2].feeds.Catalog().Version)
	test.Eq(t, before, ps[2].feeds.CatalogConfirmedAt(), test.Sprint("an older version does not confirm a newer one"))
}

func TestRequestsInFlightReachPeers(t *testing.T) {
	ps := newTestNodes(t, "a", "b")
	w := works.Request{ID: 3, Node: "a", First: "e", Prompt: 10, Since: time.Now().Add(-time.Second)}
	ps[0].works.Put(w)
	ps[0].mesh.AnnounceStart(w)
	for len(ps[1].works.ByNode("a")) == 0 {
		time.Sleep(time.Millisecond)
	}
	got := ps[1].works.ByNode("a")[0]
	test.Eq(t, "e", got.First)
	test.GreaterEq(t, time.Second, time.Since(got.Since), test.Sprint("the age is sent with the request"))
	ps[0].mesh.AnnounceDecoding(3)
	ps[0].mesh.AnnounceEnd(3)
	for len(ps[1].works.ByNode("a")) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// unreachableSource is a source whose calls all fail.
type unreachableSource struct{}

func (unreachableSource) Newest(context.Context, feeds.Stream) (feeds.Page, error) {
	return feeds.Page{}, errors.New("unreachable")
}

func (unreachableSource) Read(context.Context, feeds.Stream, ident.Offset, time.Duration) (feeds.Page, error) {
	return feeds.Page{}, errors.New("unreachable")
}

func (unreachableSource) Put(context.Context, feeds.Stream, feeds.Record) (uint64, error) {
	return 0, errors.New("unreachable")
}

func TestReaderWithoutStoreFetchesFromOtherReader(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[1].setState(7, 0)
	ps[0].feeds.Source = unreachableSource{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { ps[0].feeds.Run(ctx); close(ended) }()
	for !ps[0].feeds.SourceDown() {
		time.Sleep(time.Millisecond)
	}
	ps[0].pull()
	must.NotNil(t, ps[0].feeds.Catalog())
	test.Eq(t, 7, ps[0].feeds.Catalog().Version)
	test.False(t, ps[0].servedByReader(feeds.Configuration), test.Sprint("it still tries the store"))
	cancel()
	<-ended
}

// TestRequestedEndpointsArePulledSoon guards against waiting out the pause between two pulls
// while endpoints answer under other names, and against pulls without a pause.
func TestRequestedEndpointsArePulledSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStateSync(&feeds.Feeds{Logger: zerolog.Nop()}, &share.Mesh{}, decodeVersion, zerolog.Nop())
		pause := func() time.Duration {
			began := time.Now()
			s.pause(t.Context())
			return time.Since(began)
		}
		test.Eq(t, pullInterval, pause())
		for range 3 {
			s.requestEndpoints()
		}
		test.Eq(t, minPullInterval, pause())
		test.Eq(t, pullInterval, pause(), test.Sprint("requests before a pull count once"))
		time.AfterFunc(300*time.Millisecond, s.requestEndpoints)
		test.Eq(t, 300*time.Millisecond, pause())
	})
}
