package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
)

// longBody is too long for the buffers between a node and an endpoint that doesn't read it.
var longBody = strings.Repeat("upload ", 128<<10)

// narrowConn is a connection with a small send buffer, on which a write meets a reset first,
// as far as there is one in progress. The system reports a reset once: afterwards reads
// return the end of the connection, as after a proper close.
type narrowConn struct {
	*net.TCPConn

	// mu is held during each write.
	mu          sync.Mutex
	writeFailed bool
}

func dialNarrow(ctx context.Context, address string) (net.Conn, error) {
	c, err := links.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	t := c.(*net.TCPConn)
	return &narrowConn{TCPConn: t}, t.SetWriteBuffer(4 << 10)
}

func (n *narrowConn) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	done, err := n.TCPConn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		n.writeFailed = true
	}
	return done, err
}

func (n *narrowConn) Read(b []byte) (int, error) {
	done, err := n.TCPConn.Read(b)
	if errors.Is(err, syscall.ECONNRESET) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.writeFailed {
			return done, io.EOF
		}
	}
	return done, err
}

// early is what an endpoint does once it has read the header of a long request.
type early struct {
	head  string
	body  string
	pause time.Duration
	// end ends the connection.
	end func(net.Conn)
}

func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// closeProperly ends the answer, and reads the request to its end or to that of the connection.
func closeProperly(c net.Conn) {
	c.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, c)
	c.Close()
}

// newEarlyEndpoint returns an endpoint that answers all long requests early.
func newEarlyEndpoint(t *testing.T, a early) *scriptedEndpoint {
	e := newEndpoint(t, "e", ok("no early answer"))
	e.beforeBody = func(c net.Conn, h *http1.Request) {
		if h.Framing == http1.None {
			return
		}
		id, _ := h.Get("Id")
		io.WriteString(c, strings.ReplaceAll(a.head+a.body, "%ID", string(id)))
		time.Sleep(a.pause)
		a.end(c)
	}
	return e
}

// newEarlyRigs returns a rig whose node reaches the endpoint, and one whose node sends over a
// peer that does.
func newEarlyRigs(t *testing.T, e *scriptedEndpoint) map[string]*rig {
	direct := newConfiguredRig(t, 0, func(s *Server) { s.DialEndpoint = dialNarrow }, e, e.alias("f"))
	cut := newCutRig(t, e, e.alias("f"))
	cut.peer.server.DialEndpoint = dialNarrow
	cut.lost.Store(true)
	return map[string]*rig{"link": direct, "tunnel": cut.rig}
}

// upload returns a request with the long body, with its length or in chunks.
func upload(target string, inChunks bool) string {
	if !inChunks {
		return request("POST", target, "r1", longBody)
	}
	return strings.TrimSuffix(request("POST", target, "r1", "", "Transfer-Encoding: chunked"), "\r\n") + "\r\n" + chunked(longBody) + lastChunk
}

// Guards against a part of an answer without length that a caller gets as the whole, since the
// endpoint reset the connection while the request was still being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for _, target := range []string{"/once/", "/safe/", "/stream/"} {
		for _, closes := range []string{"", "Connection: close\r\n"} {
			for _, size := range []int{0, 5, 5000} {
				for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s %q %d bytes, %s", target, closes, size, pause), func(t *testing.T) {
						t.Parallel()
						a := early{head: signedHead + closes, body: strings.Repeat("x", size), pause: pause, end: resetConn}
						if target == "/stream/" {
							a.head += "Content-Type: text/event-stream\r\n"
							a.body = event(1)[:min(size, 5)] // a part of an event
							if size > len(event(1)) {
								a.body = strings.Repeat(event(1), size/len(event(1)))
							}
						}
						a.head += "\r\n"
						for way, r := range newEarlyRigs(t, newEarlyEndpoint(t, a)) {
							for _, inChunks := range []bool{false, true} {
								res := r.do(upload(target, inChunks))
								if target == "/stream/" && res.status == 200 {
									test.Error(t, res.err, test.Sprint(way, inChunks))
									continue
								}
								test.Eq(t, 502, res.status, test.Sprint(way, inChunks))
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a whole answer without length that is lost since the endpoint did not wait
// for the rest of the request, but read it.
func TestEarlyAnswerThatEndsProperlyIsComplete(t *testing.T) {
	cases := []struct{ target, head, body string }{
		{"/once/", "", "hello"},
		{"/once/", "", ""},
		{"/safe/", "Connection: close\r\n", strings.Repeat("x", 5000)},
		{"/stream/", "Content-Type: text/event-stream\r\n", event(1) + event(2)},
	}
	for _, c := range cases {
		a := early{head: signedHead + c.head + "\r\n", body: c.body, end: closeProperly}
		for way, r := range newEarlyRigs(t, newEarlyEndpoint(t, a)) {
			for _, inChunks := range []bool{false, true} {
				res := r.do(upload(c.target, inChunks))
				test.Eq(t, 200, res.status, test.Sprint(way, c.target, inChunks))
				test.NoError(t, res.err)
				test.Eq(t, c.body, res.body)
			}
		}
	}
}

// Guards against bytes of one request that reach the endpoint within the next one, and against
// a link that is used again before its request has been written.
func TestLinkWithAnEarlyAnswerCarriesOnlyWholeRequests(t *testing.T) {
	framed := []struct{ target, text string }{
		{"/safe/", signedHead + "Content-Length: 5\r\n\r\nearly"},
		{"/safe/", signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked("early") + lastChunk},
		{"/safe/", "HTTP/1.1 413 Too Large\r\nId: %ID\r\nContent-Length: 5\r\n\r\nearly"},
		{"/stream/", streamHead + chunked(event(1)) + lastChunk},
	}
	for _, f := range framed {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s %.25q, reads the rest: %v", f.target, f.text, reads), func(t *testing.T) {
				released := make(chan struct{})
				answered := make(chan struct{}, 1)
				e := newEndpoint(t, "e", inTurn())
				e.scripts = []script{func(c net.Conn, g receivedRequest) bool {
					if g.head.Length > maxInlineBody {
						return true
					}
					return ok("next")(c, g)
				}}
				e.beforeBody = func(c net.Conn, h *http1.Request) {
					if h.Length <= maxInlineBody {
						return
					}
					id, _ := h.Get("Id")
					io.WriteString(c, strings.ReplaceAll(f.text, "%ID", string(id)))
					answered <- struct{}{}
					if !reads {
						<-released
					}
				}
				t.Cleanup(func() { close(released) })
				r := newConfiguredRig(t, 0, func(s *Server) { s.DialEndpoint = dialNarrow }, e)
				c := r.dial()
				br := bufio.NewReader(c)
				io.WriteString(c, request("POST", f.target, "r1", longBody))
				<-answered
				first, err := readResponseFrom(br)
				must.NoError(t, err)
				test.NoError(t, first.err)
				test.StrContains(t, "early"+event(1), first.body)
				for i := range 3 {
					io.WriteString(c, request("POST", "/safe/", fmt.Sprint("r", 2+i), "short"))
					next, err := readResponseFrom(br)
					must.NoError(t, err)
					test.Eq(t, "next", next.body)
				}
				for _, g := range e.requests() {
					test.True(t, g.body == longBody || g.body == "short", test.Sprintf("the endpoint got %d bytes", len(g.body)))
				}
			})
		}
	}
}

// Guards against an invalid status that a caller gets as an answer, or that makes what follows
// it an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const fields = "\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nhello"
	for _, status := range []string{"000", "099", "600", "999", "2x0", "x20", "20x", "20", "2000", "0200", "+20", "-20", "-200", "1e2", " 200", "", "２00"} {
		for _, target := range []string{"/once/", "/safe/", "/stream/"} {
			for _, reason := range []string{"", " OK"} {
				text := "HTTP/1.1 " + status + reason + fields
				e := newEndpoint(t, "e", raw(text, true))
				res := newRig(t, e).do(request("POST", target, "r1", "x"))
				test.Eq(t, 502, res.status, test.Sprintf("%s %q", target, text))
				test.Eq(t, "", res.body)
			}
		}
	}
	// Such a status is no interim response either, after which the answer follows.
	for _, status := range []string{"000", "099", "600"} {
		e := newEndpoint(t, "e", raw("HTTP/1.1 "+status+" Text\r\n\r\nHTTP/1.1 200 OK"+fields, true))
		test.Eq(t, 502, newRig(t, e).do(request("POST", "/once/", "r1", "x")).status)
	}
}
