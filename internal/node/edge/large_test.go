package edge

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
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
	c := &topol.Catalog{Version: d.Version, Routes: d.Routes, Raw: raw}
	c.Index()
	return c, nil
}

// link is a listener that counts the bytes sent on its connections and, if
// bytesPerSecond is set, limits their rate together.
type link struct {
	net.Listener
	bytesPerSecond int
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
	if rate := c.link.bytesPerSecond; rate > 0 {
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
	p.feeds.UpdateEndpoints([]topol.Endpoint{{Name: "e", Service: "s", Address: "127.0.0.1:1"}}, clock.Now())
}

// pullUntil pulls the state until a version is in force, at most the given number
// of times, and reports whether it is. The reader's state stays fresh meanwhile.
func (p *testNode) pullUntil(v ident.Version, reader *testNode, pulls int) bool {
	for range pulls {
		reader.feeds.ConfirmCatalog(clock.Now())
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

// Guards against CONFIG: a configuration that took longer to send than a reader's
// answer may take never arrived, and the node turned to the store.
func TestLargeConfigurationArrivesOverASlowLink(t *testing.T) {
	ps := newTestNodes(t, "a", "b", "c")
	for _, p := range ps {
		p.decode = decodeDocument
	}
	raw := largeDocument(7, 0)
	ps[0].setDocument(t, raw)
	ps[0].link.bytesPerSecond = len(raw) / 8
	test.True(t, ps[2].pullUntil(7, ps[0], 300))
	test.True(t, ps[2].servedByReader(), test.Sprint("the node would read the store"))
}
