package tunnel

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// node serves tunnels to endpoints, which are ends of pipes.
type node struct {
	address   string
	endpoints chan net.Conn
	requests  chan Request
	// accepted are the connections of tunnels.
	accepted chan net.Conn
}

func startNode(t *testing.T, refuse error) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	n := &node{address: l.Addr().String(), endpoints: make(chan net.Conn, 10), requests: make(chan Request, 10), accepted: make(chan net.Conn, 10)}
	s := &Server{Connect: func(_ context.Context, r Request) (net.Conn, error) {
		n.requests <- r
		if refuse != nil {
			return nil, refuse
		}
		near, far := tcpPair(t)
		n.endpoints <- far
		return near, nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	serve := func(ctx context.Context, c net.Conn, r *bufio.Reader) {
		n.accepted <- c
		s.Serve(ctx, c, r)
	}
	go func() {
		conns.ServeRPC(ctx, l, "Node", &empty{}, conns.Branch{Preamble: Preamble, Serve: serve})
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

type empty struct{}

// Nop makes empty a receiver for net/rpc.
func (*empty) Nop(struct{}, *struct{}) error { return nil }

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	far, err = l.Accept()
	must.NoError(t, err)
	return near, far
}

func open(t *testing.T, n *node) (tunnel, endpoint net.Conn) {
	c, err := Dial(context.Background(), n.address, Request{From: "n", Endpoint: "e", Address: "a", Timeout: maxConnectTimeout})
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, <-n.endpoints
}

func TestBytesPassBothWays(t *testing.T) {
	c, e := open(t, startNode(t, nil))
	for _, text := range []string{"one", "two"} {
		io.WriteString(c, text)
		b := make([]byte, 3)
		io.ReadFull(e, b)
		test.Eq(t, text, string(b))
		io.WriteString(e, text)
		io.ReadFull(c, b)
		test.Eq(t, text, string(b))
	}
	c.Close()
	_, err := e.Read(make([]byte, 1))
	test.Error(t, err, test.Sprint("the endpoint sees that the caller has left"))
}

// Guards against an answer that ends with its connection and looks complete although the
// endpoint, or the node between, broke off.
func TestEndOfTheEndpoint(t *testing.T) {
	cases := []struct {
		name string
		end  func(n *node, e net.Conn)
		want error
	}{
		{"closed", func(_ *node, e net.Conn) { e.Close() }, io.EOF},
		{"broken", func(_ *node, e net.Conn) { e.(*net.TCPConn).SetLinger(0); e.Close() }, io.ErrUnexpectedEOF},
		{"peer lost", func(n *node, _ net.Conn) { (<-n.accepted).Close() }, ErrPeerLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, nil)
			tunnel, e := open(t, n)
			io.WriteString(e, "answer")
			b := make([]byte, 6)
			io.ReadFull(tunnel, b)
			test.Eq(t, "answer", string(b))
			c.end(n, e)
			for range 2 {
				_, err := tunnel.Read(b)
				test.True(t, errors.Is(err, c.want), test.Sprint(err))
			}
		})
	}
}

// handler is called if a read has passed its deadline.
type handler func() bool

func (h handler) OutlastsDeadline() bool { return h() }

// Guards against a tunnel that counts as lost since a read passed its deadline within a chunk.
func TestReadsOfATunnelMayOutlastTheirDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1))
		gob.NewDecoder(c).Decode(&Request{})
		gob.NewEncoder(c).Encode(Reply{Connected: true})
		io.WriteString(c, "9\r\none ")
		accepted <- c
	}()
	c, err := Dial(context.Background(), l.Addr().String(), Request{})
	must.NoError(t, err)
	defer c.Close()
	node := <-accepted
	defer node.Close()
	c.(*clientConn).PatientReader().Handler = handler(func() bool {
		io.WriteString(node, "line\n\r\n")
		c.SetReadDeadline(time.Time{})
		return true
	})
	c.SetReadDeadline(conns.Expired)
	b := make([]byte, 9)
	_, err = io.ReadFull(c, b)
	must.NoError(t, err)
	test.Eq(t, "one line\n", string(b))
}

// Guards against an endpoint whose answer is lost since it stopped reading the request.
func TestAnswerBeforeTheEndOfTheRequest(t *testing.T) {
	c, e := open(t, startNode(t, nil))
	e.(*net.TCPConn).CloseRead()
	go func() {
		for range 1000 {
			if _, err := c.Write(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}()
	io.WriteString(e, "early")
	b := make([]byte, 5)
	_, err := io.ReadFull(c, b)
	must.NoError(t, err)
	test.Eq(t, "early", string(b))
}

func TestUnreachableEndpoint(t *testing.T) {
	n := startNode(t, errors.New("refused"))
	_, err := Dial(context.Background(), n.address, Request{Endpoint: "e", Timeout: maxConnectTimeout})
	test.ErrorIs(t, err, ErrUnreachable)
	test.Eq(t, "e", (<-n.requests).Endpoint)
}

// Guards against a node that waits for a peer of an older release, which takes the
// preamble for a malformed call.
func TestPeerWithoutTunnels(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go conns.ServeRPC(ctx, l, "Node", &empty{})
	_, err = Dial(ctx, l.Addr().String(), Request{})
	test.Error(t, err)
}
