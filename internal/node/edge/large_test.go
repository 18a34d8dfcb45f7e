package edge

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// manyRoutes is the number of routes of a large configuration in tests.
const manyRoutes = 4000

// document is the JSON form of a configuration in the tests of this file.
type document struct {
	Version ident.Version
	Routes  []topol.Route
}

// largeDocument returns a configuration document with manyRoutes routes and, in
// addition, extra ones.
func largeDocument(v ident.Version, extra int) []byte {
	d := document{Version: v}
	for i := range manyRoutes + extra {
		d.Routes = append(d.Routes, topol.Route{
			Name: ident.RouteName(fmt.Sprintf("r-%07x", i*7919)), Host: "example.org", Prefix: fmt.Sprintf("/%08x/", i*104729),
			Kind: topol.Idempotent, Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Priority: 2, Attempts: 2,
			Services: []topol.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	raw, _ := json.Marshal(d)
	return raw
}

func decodeDocument(raw []byte) (*topol.Catalog, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, err
	}
	c := &topol.Catalog{Version: d.Version, Raw: raw}
	for i := range d.Routes {
		c.Add(&d.Routes[i])
	}
	return c, nil
}

// link is a listener that counts the bytes sent on its connections and, if
// bytesPerSecond is set, limits their rate together.
type link struct {
	net.Listener
	bytesPerSecond atomic.Int64
	sent           atomic.Int64
	// busy is held while bytes are sent at a limited rate.
	busy chan struct{}
}

func newLink(l net.Listener) *link { return &link{Listener: l, busy: make(chan struct{}, 1)} }

func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &linkConn{Conn: c, link: l}, err
}

type linkConn struct {
	net.Conn
	link *link
}

func (c *linkConn) Write(b []byte) (int, error) {
	c.link.sent.Add(int64(len(b)))
	if rate := c.link.bytesPerSecond.Load(); rate > 0 {
		c.link.busy <- struct{}{}
		time.Sleep(time.Duration(len(b)) * time.Second / time.Duration(rate))
		<-c.link.busy
	}
	return c.Conn.Write(b)
}

// setDocument gives a node a configuration document as the newest.
func (p *testNode) setDocument(t *testing.T, raw []byte) {
	c, err := decodeDocument(raw)
	must.NoError(t, err)
	p.feeds.UpdateCatalog(c)
	p.feeds.ConfirmCatalog(clock.Now())
	p.feeds.MergeEvacuations(feeds.Evacuations{ConfirmedAt: clock.Now()}, feeds.Position{})
	p.feeds.UpdateEndpoints([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, clock.Now())
}

// pullUntil pulls the state until a version is in force, at most the given number
// of times, and reports whether it is. The reader's state stays fresh meanwhile.
func (p *testNode) pullUntil(v ident.Version, reader *testNode, pulls int) bool {
	for range pulls {
		reader.feeds.ConfirmCatalog(clock.Now())
		reader.feeds.MergeEvacuations(feeds.Evacuations{ConfirmedAt: clock.Now()}, feeds.Position{})
		reader.feeds.UpdateEndpoints([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, clock.Now())
		p.pull()
		if c := p.feeds.Catalog(); c != nil && c.Version >= v {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Guards against CONFIG: each change of a large configuration was sent to each node
// as the whole document.
func TestChangeOfLargeConfigurationMovesFewBytes(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	for _, p := range ps {
		p.decode = decodeDocument
	}
	ps[0].setDocument(t, largeDocument(7, 0))
	must.True(t, ps[2].pullUntil(7, ps[0], 100))
	before := ps[0].link.sent.Load()
	ps[0].setDocument(t, largeDocument(8, 1))
	must.True(t, ps[2].pullUntil(8, ps[0], 100))
	test.Less(t, 16<<10, ps[0].link.sent.Load()-before, test.Sprint("bytes sent for one more route"))
}

// manyEndpoints returns a long list of endpoints, of which the first n are leaving.
func manyEndpoints(leaving int) []topol.Endpoint {
	es := make([]topol.Endpoint, 2000)
	for i := range es {
		es[i] = topol.Endpoint{Name: ident.EndpointName(fmt.Sprintf("i-%08x", i*7919)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Slots: 8, Leaving: i < leaving}
	}
	return es
}

// Guards against the cause of CONFIG elsewhere: each change of one endpoint was sent
// to each node as the whole list.
func TestChangeOfOneEndpointMovesFewBytes(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	ps[0].setState(1, 0)
	for i := range 4 {
		before := ps[0].link.sent.Load()
		ps[0].feeds.UpdateEndpoints(manyEndpoints(i), clock.Now())
		ps[2].pull()
		must.Eq(t, ps[0].feeds.Endpoints().ID, ps[2].feeds.Endpoints().ID)
		if i > 0 {
			test.Less(t, 8<<10, ps[0].link.sent.Load()-before, test.Sprint("bytes sent for one endpoint"))
		}
	}
	es := manyEndpoints(3)
	ps[0].feeds.UpdateEndpoints(es[1:], clock.Now())
	ps[2].pull()
	must.MapLen(t, len(es)-1, ps[2].feeds.Endpoints().ByName)
}

// Guards against CONFIG: a configuration that took longer to send than a reader's
// answer may take never arrived, and the node turned to the store.
func TestLargeConfigurationArrivesOverASlowLink(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	for _, p := range ps {
		p.decode = decodeDocument
	}
	raw := largeDocument(7, 0)
	ps[0].setDocument(t, raw)
	ps[0].link.bytesPerSecond.Store(int64(len(raw) / 4))
	test.True(t, ps[2].pullUntil(7, ps[0], 300))
	test.True(t, ps[2].servedByReader(feeds.Configuration), test.Sprint("the node would read the store"))
}

// startWithDocument returns three nodes of which the first has a large document in
// force and the third got it from there.
func startWithDocument(t *testing.T) []*testNode {
	ps := newTestNodes(t, "a", "b", "c")
	for _, p := range ps {
		p.decode = decodeDocument
	}
	ps[0].setDocument(t, largeDocument(1, 0))
	must.True(t, ps[2].pullUntil(1, ps[0], 100))
	return ps
}

func TestNodeThatMissedVersionsCatchesUp(t *testing.T) {
	for _, missed := range []int{2, 3 * 8} {
		ps := startWithDocument(t)
		for i := range missed {
			ps[0].setDocument(t, largeDocument(ident.Version(2+i), 1+i))
		}
		must.True(t, ps[2].pullUntil(ident.Version(1+missed), ps[0], 100), must.Sprint(missed))
		test.Eq(t, ps[0].feeds.Catalog().ID(), ps[2].feeds.Catalog().ID())
		test.MapLen(t, manyRoutes+missed, ps[2].feeds.Catalog().Routes)
		test.True(t, ps[2].servedByReader(feeds.Configuration))
	}
}

// Guards against a change to a base that the reader does not have: the node must get
// the whole configuration.
func TestNodeWithAnotherBaseGetsTheWholeConfiguration(t *testing.T) {
	ps := startWithDocument(t)
	other := &topol.Catalog{Version: 2}
	other.Add(&topol.Route{Name: "damaged", Host: "example.org", Prefix: "/damaged/"})
	ps[2].feeds.UpdateCatalog(other)
	ps[0].setDocument(t, largeDocument(3, 1))
	must.True(t, ps[2].pullUntil(3, ps[0], 100))
	test.Eq(t, ps[0].feeds.Catalog().ID(), ps[2].feeds.Catalog().ID())
}

func TestChangeWithAWrongResultIsFollowedByTheWholeConfiguration(t *testing.T) {
	ps := startWithDocument(t)
	next, err := decodeDocument(largeDocument(2, 1))
	must.NoError(t, err)
	ch := topol.Diff(ps[2].feeds.Catalog(), next)
	ch.Routes[0].Attempts++
	raw, err := relay.EncodeChange(ch)
	must.NoError(t, err)
	must.ErrorIs(t, ps[2].applyChange(raw), topol.ErrDigest)
	test.Eq(t, topol.ID{}, ps[2].base())
	ps[0].setDocument(t, largeDocument(2, 1))
	must.True(t, ps[2].pullUntil(2, ps[0], 100))
	test.Eq(t, ps[2].feeds.Catalog().ID(), ps[2].base())
}

// Nodes of an older release send no format and read only documents.
func TestNodeOfAnOlderReleaseGetsTheDocument(t *testing.T) {
	ps := startWithDocument(t)
	st := ps[0].state(relay.StateArgs{})
	c, err := decodeDocument(st.Raw)
	must.NoError(t, err)
	test.Eq(t, ps[0].feeds.Catalog().ID(), c.ID())
	test.SliceEmpty(t, st.Change)
}

func TestDocumentOfAnOlderReleaseIsTaken(t *testing.T) {
	ps := startWithDocument(t)
	raw := largeDocument(5, 1)
	ps[2].applyNewer(ps[0].mesh.Self.Address, relay.State{Version: 5, Raw: raw})
	test.Eq(t, 5, ps[2].feeds.Catalog().Version)
}

// Guards against a transfer that begins again from nothing, or that mixes the parts
// of two changes.
func TestTransferGoesOnAfterPartsOfOtherChanges(t *testing.T) {
	one, two := []byte("one change"), []byte("another change")
	tr := &transfer{sync: &stateSync{changes: &changeStore{}}}
	test.False(t, tr.add(relay.ChangePart{Hash: xxhash.Sum64(one), Size: len(one), Data: one[:4]}))
	test.Eq(t, 4, tr.args.Offset)
	test.False(t, tr.add(relay.ChangePart{Hash: xxhash.Sum64(two), Size: len(two), Data: two[:5]}))
	test.Eq(t, 5, tr.args.Offset)
	test.True(t, tr.add(relay.ChangePart{Hash: xxhash.Sum64(two), Size: len(two), Data: two[5:]}))
	test.NoError(t, tr.check())
	test.SliceLen(t, 1, tr.sync.changes.changes, test.Sprint("an incomplete change is dropped"))
	tr.change.data[0]++
	test.ErrorIs(t, tr.check(), errDamaged)
	test.SliceEmpty(t, tr.sync.changes.changes, test.Sprint("peers must not get a damaged change"))
}

// Guards against a node that turns to the store because a version came by another way
// during a transfer, and against parts added to a change that could not be applied.
func TestTransferOfAChangeThatDoesNotFitAnyMore(t *testing.T) {
	ps := startWithDocument(t)
	last, err := decodeDocument(largeDocument(3, 2))
	must.NoError(t, err)
	change, err := relay.EncodeChange(topol.Diff(ps[2].feeds.Catalog(), last))
	must.NoError(t, err)
	ps[2].setDocument(t, largeDocument(2, 1))
	receive := func(data []byte) *transfer {
		tr := &transfer{sync: ps[2].stateSync}
		must.True(t, tr.add(relay.ChangePart{Hash: xxhash.Sum64(data), Size: len(data), Data: data}))
		must.NoError(t, tr.check())
		return tr
	}
	test.NoError(t, receive(change).apply())
	test.Eq(t, 2, ps[2].feeds.Catalog().Version)
	tr := receive([]byte("no change"))
	test.ErrorIs(t, tr.apply(), relay.ErrChange)
	test.Eq(t, 0, tr.args.Offset)
	test.Nil(t, tr.change)
}

// Guards against each node of a tree waiting for the whole configuration before it
// sends any of it, and against a tree that a node without it blocks.
func TestPartsArePassedOnWhileTheyArrive(t *testing.T) {
	s := &changeStore{feeds: &feeds.Feeds{Logger: zerolog.Nop()}, logger: zerolog.Nop()}
	base, result := topol.ID{Version: 1, Digest: 2}, topol.ID{Version: 3, Digest: 4}
	args := relay.ChangeArgs{Base: base, Wanted: 3}
	test.Eq(t, 0, s.serve(args).Size, test.Sprint("there is nothing yet"))
	ec := s.receive(nil, relay.ChangePart{Base: base, Result: result, Hash: 9, Size: 10, Data: []byte("0123")})
	p := s.serve(args)
	test.Eq(t, relay.ChangePart{Base: base, Result: result, Hash: 9, Size: 10, Data: []byte("0123")}, p)
	args.Hash, args.Offset = 9, 4
	test.Eq(t, 0, s.serve(args).Size)
	next := make(chan relay.ChangePart)
	go func() { next <- s.serve(args) }()
	s.receive(ec, relay.ChangePart{Hash: 9, Size: 10, Data: []byte("456789")})
	test.Eq(t, "456789", string((<-next).Data))
	test.Eq(t, 0, s.serve(relay.ChangeArgs{Base: result, Wanted: 3}).Size, test.Sprint("a change from another base"))
	s.abandon(ec)
	test.Eq(t, 0, s.serve(args).Size)
}

// Guards against a node that waits for a transfer for ever: if no peer can send the
// configuration, it reads the store.
func TestNodeReadsTheStoreIfNoPeerSendsTheConfiguration(t *testing.T) {
	ps := startWithDocument(t)
	ps[2].startTransfer(ps[0].mesh.Self.Address, 2)
	for !ps[2].transferFailed.Load() {
		time.Sleep(time.Millisecond)
	}
	test.False(t, ps[2].servedByReader(feeds.Configuration))
	ps[0].setDocument(t, largeDocument(2, 1))
	must.True(t, ps[2].pullUntil(2, ps[0], 100))
	ps[2].pull()
	test.True(t, ps[2].servedByReader(feeds.Configuration))
}
