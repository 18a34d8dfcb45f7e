package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct {
	head *http1.Request
	body string
}

func (g receivedRequest) field(n string) string {
	v, _ := g.head.Get(n)
	return string(v)
}

// scriptedEndpoint is a server that answers each request with its next script,
// and repeats the last one.
type scriptedEndpoint struct {
	name    string
	address string

	mu       sync.Mutex
	listener net.Listener
	// ended, if it is set, gets the connections that are opened since the endpoint has ended
	// behind a proxy.
	ended    func(net.Conn)
	open     map[net.Conn]struct{}
	scripts  []script
	received []receivedRequest
	// conns is the number of connections over which requests came.
	conns int
	// probes is the number of probes.
	probes int
	// beforeBody is called after the header of a request, before its body is read. It is
	// set before the first request.
	beforeBody func(net.Conn, *http1.Request)
}

// script answers a request on a connection. It returns false to close the
// connection.
type script func(c net.Conn, g receivedRequest) bool

// raw writes a text as the response, with %ID replaced by the request's ID. The
// connection stays open if keep is set.
func raw(text string, keep bool) script {
	return func(c net.Conn, g receivedRequest) bool {
		io.WriteString(c, strings.ReplaceAll(text, "%ID", g.field("Id")))
		return keep
	}
}

// ok responds with status 200, a signature and a body.
func ok(body string) script {
	return raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %%ID\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true)
}

// fails responds with an error status and a signature.
func fails(status int) script {
	return raw(fmt.Sprintf("HTTP/1.1 %d Failed\r\nId: %%ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noops", status), true)
}

// refuses responds that the request has not run.
func refuses(status int) script {
	return raw(fmt.Sprintf("HTTP/1.1 %d Busy\r\nId: %%ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status), true)
}

// neverResponds reads until the other end closes the connection, without a
// response.
func neverResponds(c net.Conn, _ receivedRequest) bool {
	io.Copy(io.Discard, c)
	return false
}

// dropsConnection closes the connection without a response.
func dropsConnection(net.Conn, receivedRequest) bool { return false }

const streamHead = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

func chunked(parts ...string) string {
	var sb strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&sb, "%x\r\n%s\r\n", len(p), p)
	}
	return sb.String()
}

// streams sends the events from..to, and then the end of the body if whole is
// set.
func streams(from, to int, whole bool) script {
	text := streamHead
	for i := from; i <= to; i++ {
		text += chunked(event(i))
	}
	if whole {
		text += lastChunk
	}
	return raw(text, whole)
}

func newEndpoint(t testing.TB, name string, scripts ...script) *scriptedEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &scriptedEndpoint{name: name, address: l.Addr().String(), scripts: scripts, open: map[net.Conn]struct{}{}}
	e.listen(l)
	t.Cleanup(func() { e.crash(); l.Close() })
	return e
}

// listen accepts connections until the endpoint crashes.
func (e *scriptedEndpoint) listen(l net.Listener) {
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open[c] = struct{}{}
			ended := e.ended
			e.mu.Unlock()
			if ended != nil {
				go ended(c)
				continue
			}
			go e.serve(c)
		}
	}()
}

// crash ends the endpoint as the end of its process does: nobody listens, and all connections are
// reset.
func (e *scriptedEndpoint) crash() {
	e.mu.Lock()
	for c := range e.open {
		c.(*net.TCPConn).SetLinger(0)
	}
	e.mu.Unlock()
	e.end()
}

// end ends the endpoint as crash does, but connections deliver what was written.
func (e *scriptedEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil {
		e.listener.Close()
	}
	for c := range e.open {
		c.Close()
	}
}

// crashes returns the script of an endpoint that each request crashes.
func crashes(e **scriptedEndpoint) script {
	return func(net.Conn, receivedRequest) bool {
		(*e).crash()
		return false
	}
}

// newCrashingEndpoint returns an endpoint that each request crashes.
func newCrashingEndpoint(t testing.TB, name string) *scriptedEndpoint {
	var e *scriptedEndpoint
	e = newEndpoint(t, name, crashes(&e))
	return e
}

// alias returns another endpoint at the same address, so both use the same
// scripts.
func (e *scriptedEndpoint) alias(name string) *scriptedEndpoint {
	return &scriptedEndpoint{name: name, address: e.address}
}

// rigHost is the Host of all requests that a rig's callers send to its routes.
const rigHost = "h.example"

func (e *scriptedEndpoint) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, c)
		c.Close()
	}()
	isFirst := true
	br := bufio.NewReader(c)
	for {
		req, err := http1.ReadRequest(br, 64<<10)
		if err != nil {
			return
		}
		if req.Host != rigHost && string(req.Target) != probePath {
			// Not of this rig: the system gives ports out again to which the nodes of other
			// packages' tests still connect.
			return
		}
		if e.beforeBody != nil {
			e.beforeBody(c, req)
		}
		body, err := http1.ReadBody(br, req.Framing, req.Length, 8<<20)
		if err != nil {
			return
		}
		if string(req.Target) == probePath {
			e.mu.Lock()
			e.probes++
			e.mu.Unlock()
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		g := receivedRequest{req, string(body)}
		e.mu.Lock()
		if isFirst {
			e.conns++
			isFirst = false
		}
		s := e.scripts[min(len(e.received), len(e.scripts)-1)]
		e.received = append(e.received, g)
		e.mu.Unlock()
		if !s(c, g) {
			return
		}
	}
}

func (e *scriptedEndpoint) requests() []receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedRequest(nil), e.received...)
}
