package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/share"
	"laburnumstack.org/laburnum/pkg/ident"
)

// peerNode is the part of a node that knows the deployment and has peers.
type peerNode struct {
	*news
	works *works.Table
}

// decodeVersion reads a configuration that is only a version.
func decodeVersion(raw []byte) (*topol.Catalog, error) {
	if len(raw) != 1 {
		return nil, errors.New("unreadable")
	}
	return &topol.Catalog{Version: ident.Version(raw[0]), Raw: raw}, nil
}

func newPeers(t *testing.T, names ...string) []*peerNode {
	ctx, cancel := context.WithCancel(context.Background())
	var ps []*peerNode
	ended := make(chan struct{}, len(names))
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		p := &peerNode{works: &works.Table{}}
		m := &share.Mesh{Self: relay.Member{Name: ident.NodeName(name), Address: l.Addr().String()}, Works: p.works, Logger: zerolog.Nop()}
		m.Failed, m.Struck = func([]ident.EndpointName) {}, func([]strik.Strike) {}
		m.Init(ctx)
		p.news = &news{feeds: &feeds.Feeds{Logger: zerolog.Nop()}, mesh: m, decode: decodeVersion, logger: zerolog.Nop()}
		m.State = p.state
		go func() { m.Run(ctx, l); ended <- struct{}{} }()
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
			p.mesh.Meet(q.mesh.Self.Address)
		}
	}
	for _, p := range ps {
		for len(p.mesh.Readers(len(ps), time.Now())) < len(ps) {
			time.Sleep(time.Millisecond)
		}
	}
	return ps
}

// knows gives a node a configuration and a list that were young some time ago.
func (p *peerNode) knows(version byte, age time.Duration) {
	c, _ := decodeVersion([]byte{version})
	p.feeds.Offer(c)
	at := clock.Now().Add(-age)
	p.feeds.Prove(at)
	p.feeds.Adopt([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, at)
}

func TestNodesTakeNewsFromReaders(t *testing.T) {
	ps := newPeers(t, "a", "b", "c", "d")
	ps[0].knows(7, 500*time.Millisecond)
	asked := clock.Now()
	ps[3].pull()
	must.NotNil(t, ps[3].feeds.Catalog())
	test.Eq(t, 7, ps[3].feeds.Catalog().Version)
	test.True(t, ps[3].follows())
	test.MapLen(t, 1, ps[3].feeds.Fleet().Names)
	// What is taken is never younger than what the reader had.
	test.LessEq(t, asked.Add(-400*time.Millisecond), ps[3].feeds.Proven())
	test.False(t, ps[0].follows(), test.Sprint("a reader reads by itself"))
}

func TestOldNewsOfAReaderMakeANodeReadByItself(t *testing.T) {
	ps := newPeers(t, "a", "b", "c")
	ps[0].knows(7, time.Minute)
	ps[1].knows(7, time.Minute)
	ps[2].pull()
	test.False(t, ps[2].follows())
	test.Eq(t, 7, ps[2].feeds.Catalog().Version, test.Sprint("old knowledge is better than none"))
}

func TestNewerKnowledgeStays(t *testing.T) {
	ps := newPeers(t, "a", "b", "c")
	ps[0].knows(7, 0)
	ps[2].knows(9, time.Minute)
	before := ps[2].feeds.Proven()
	ps[2].pull()
	test.Eq(t, 9, ps[2].feeds.Catalog().Version)
	test.Eq(t, before, ps[2].feeds.Proven(), test.Sprint("an older version proves nothing"))
}

func TestWorksReachThePeers(t *testing.T) {
	ps := newPeers(t, "a", "b")
	w := works.Request{ID: 3, Node: "a", First: "e", Prompt: 10, Since: time.Now().Add(-time.Second)}
	ps[0].works.Put(w)
	ps[0].mesh.Began(w)
	for len(ps[1].works.ByNode("a")) == 0 {
		time.Sleep(time.Millisecond)
	}
	got := ps[1].works.ByNode("a")[0]
	test.Eq(t, "e", got.First)
	test.GreaterEq(t, time.Second, time.Since(got.Since), test.Sprint("the age goes along"))
	ps[0].mesh.Wrote(3)
	ps[0].mesh.Done(3)
	for len(ps[1].works.ByNode("a")) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// away is a source that doesn't answer.
type away struct{}

func (away) Newest(context.Context, feeds.Stream) (feeds.Page, error) {
	return feeds.Page{}, errors.New("away")
}

func (away) Read(context.Context, feeds.Stream, ident.Offset, time.Duration) (feeds.Page, error) {
	return feeds.Page{}, errors.New("away")
}

func (away) Put(context.Context, feeds.Stream, feeds.Record) error { return errors.New("away") }

func TestReaderThatLostTheStoreAsksTheOther(t *testing.T) {
	ps := newPeers(t, "a", "b", "c")
	ps[1].knows(7, 0)
	ps[0].feeds.Source = away{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { ps[0].feeds.Run(ctx); close(ended) }()
	for !ps[0].feeds.Away() {
		time.Sleep(time.Millisecond)
	}
	ps[0].pull()
	must.NotNil(t, ps[0].feeds.Catalog())
	test.Eq(t, 7, ps[0].feeds.Catalog().Version)
	test.False(t, ps[0].follows(), test.Sprint("it still tries the store"))
	cancel()
	<-ended
}
