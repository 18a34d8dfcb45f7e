package gate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

// carrier is a peer that carries tunnels and keeps the bytes that passed to endpoints.
type carrier struct {
	reach.Peer
	mu    sync.Mutex
	bytes bytes.Buffer
}

// newCarrier returns a peer in a data centre that reaches all endpoints.
func newCarrier(t *testing.T, name ident.NodeName, at ident.DataCentre) *carrier {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c := &carrier{Peer: reach.Peer{Name: name, Address: l.Addr().String(), DataCentre: at}}
	s := &tunnel.Server{Connect: func(_ context.Context, r tunnel.Request) (net.Conn, error) {
		conn, err := net.Dial("tcp", r.Address)
		if err != nil {
			return nil, err
		}
		return &carriedConn{conn, c}, nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		conns.ServeRPC(ctx, l, "Node", &fakeReserver{}, conns.Branch{Preamble: tunnel.Preamble, Serve: func(ctx context.Context, conn net.Conn, r *bufio.Reader) { s.Serve(ctx, conn, r) }})
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

type carriedConn struct {
	net.Conn
	carrier *carrier
}

func (c *carriedConn) Write(b []byte) (int, error) {
	c.carrier.mu.Lock()
	c.carrier.bytes.Write(b)
	c.carrier.mu.Unlock()
	return c.Conn.Write(b)
}

// carried reports whether the peer has carried a text.
func (c *carrier) carried(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.bytes.String(), text)
}

// Guards against a request's body that passes through a node of another region: this node has
// lost its links to the endpoints, and sends over its peers.
func TestTunnelsOfRequestsWithHomesPassThroughAllowedRegions(t *testing.T) {
	cases := []struct {
		name    string
		homes   topol.Homes
		regions homes.Regions
		// at is the data centre of the endpoint, peers those of the peers.
		at      ident.DataCentre
		peers   []ident.DataCentre
		carried []ident.DataCentre
	}{
		{"home region", "us\n", testRegions, "b", []ident.DataCentre{"b", "c", "x"}, []ident.DataCentre{"b"}},
		{"region of the node", "us\n", testRegions, "b", []ident.DataCentre{"a", "c", "x"}, []ident.DataCentre{"a"}},
		{"either", "us\n", testRegions, "b", []ident.DataCentre{"a", "b", "c"}, []ident.DataCentre{"a", "b"}},
		{"none", "us\n", testRegions, "b", []ident.DataCentre{"c", "x", ""}, nil},
		{"region of the node unknown", "us\n", homes.Regions{Of: testRegions.Of}, "b", []ident.DataCentre{"a", "x"}, nil},
		{"at home, others elsewhere", "eu\n", testRegions, "a", []ident.DataCentre{"b", "c"}, nil},
		{"no homes", "", testRegions, "b", []ident.DataCentre{"c", "x"}, []ident.DataCentre{"c", "x"}},
	}
	for _, c := range cases {
		for _, over := range []string{"a refused link", "a link known as lost"} {
			t.Run(c.name+", "+over, func(t *testing.T) {
				e := newEndpoint(t, "e", ok("yes"))
				carriers := map[ident.DataCentre]*carrier{}
				var peers []reach.Peer
				for i, p := range c.peers {
					carriers[p] = newCarrier(t, ident.NodeName(fmt.Sprint("n", i+2)), p)
					peers = append(peers, carriers[p].Peer)
				}
				r := newHomeRig(t, homed{route: c.homes, of: map[string]ident.DataCentre{"e": c.at}}, func(s *Server) {
					s.Regions = c.regions
					s.DialEndpoint = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
					s.Peers = func(time.Time) []reach.Peer { return slices.Clone(peers) }
				}, e)
				if over == "a link known as lost" {
					r.server.loseLink(r.server.Feeds.Endpoints().ByName["ep"])
				}
				for i := range 12 {
					text := request("POST", "/safe/", fmt.Sprint("r", i), "secret body")
					if len(c.carried) == 0 {
						test.NotEq(t, 200, r.do(text).status)
						continue
					}
					// A busy machine may take longer than a tunnel may.
					waitFor(t, func() bool { return r.do(text).status == 200 })
				}
				test.Eq(t, len(c.carried) > 0, len(e.requests()) > 0)
				for p, k := range carriers {
					// One of those allowed may get none by chance.
					if !slices.Contains(c.carried, p) {
						test.False(t, k.carried("secret body"), test.Sprint(p))
						test.False(t, k.carried("/safe/"), test.Sprint(p))
					}
				}
			})
		}
	}
}

// Guards against reservations that fail at a node without links for requests with homes: an order
// holds nothing of a request and may go over each peer.
func TestOrdersMayGoOverPeersOfAllRegions(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	k := newCarrier(t, "n2", "c")
	r := newHomeRig(t, homed{route: "eu\n"}, func(s *Server) {
		s.DialEndpoint = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		s.Peers = func(time.Time) []reach.Peer { return []reach.Peer{k.Peer} }
	}, e)
	checkOrder(t, r.server, e)
}
