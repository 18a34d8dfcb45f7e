package conns_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// serve starts a server that answers each read with the given bytes, and then
// closes the connection if closeAfter is set. It returns the address and a
// function that counts the connections so far.
func serve(t *testing.T, response string, closeAfter bool) (addr string, count func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	accepted := make(chan struct{}, 100)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go respond(c, response, closeAfter)
		}
	}()
	return l.Addr().String(), func() int { return len(accepted) }
}

func respond(c net.Conn, response string, closeAfter bool) {
	defer c.Close()
	b := make([]byte, 4096)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		io.WriteString(c, response)
		if closeAfter {
			return
		}
	}
}

func request(p *conns.Pool, timeout time.Duration) (*conns.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	return p.Do(context.Background(), conns.Call{Request: req, HeaderTimeout: timeout})
}

func get(p *conns.Pool, timeout time.Duration) ([]byte, error) {
	r, err := request(p, timeout)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.ReadAll(1 << 20)
}

func TestReadResponse(t *testing.T) {
	cases := []struct {
		name, response string
		closes         bool
		body           string
		err            error
	}{
		{"with content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, "hi", nil},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", false, "hi", nil},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", false, "", nil},
		{"until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", true, "hi", nil},
		{"truncated before the content length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", true, "", conns.ErrTruncated},
		{"truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true, "", conns.ErrTruncated},
		{"truncated before the last line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", true, "", conns.ErrTruncated},
		{"closed without response", "", true, "", conns.ErrNoResponse},
		{"not HTTP", "hello\r\n\r\n", true, "", conns.ErrNoResponse},
		{"silent", "", false, "", conns.ErrNoResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := serve(t, c.response, c.closes)
			b, err := get(&conns.Pool{Address: addr}, 300*time.Millisecond)
			if c.err != nil {
				test.ErrorIs(t, err, c.err)
				return
			}
			must.NoError(t, err)
			test.Eq(t, c.body, string(b))
		})
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	_, err = get(&conns.Pool{Address: l.Addr().String()}, time.Second)
	test.ErrorIs(t, err, conns.ErrNotSent)
}

func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name, response string
		closes         bool
		want           int
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, 1},
		{"longer than the content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false, 3},
		{"closed by the other end", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, count := serve(t, c.response, c.closes)
			p := &conns.Pool{Address: addr}
			for range 3 {
				b, err := get(p, time.Second)
				must.NoError(t, err)
				test.Eq(t, "hi", string(b))
				if c.closes {
					time.Sleep(20 * time.Millisecond)
				}
			}
			test.Eq(t, c.want, count())
		})
	}
}

func TestEndOfContextInterruptsRead(t *testing.T) {
	addr, _ := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", false)
	ctx, cancel := context.WithCancel(context.Background())
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	r, err := (&conns.Pool{Address: addr}).Do(ctx, conns.Call{Request: req})
	must.NoError(t, err)
	defer r.Close()
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = r.ReadAll(100)
	test.ErrorIs(t, err, conns.ErrTruncated)
}

func TestIsOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	test.True(t, conns.IsOpen(server))
	fmt.Fprint(client, "hi")
	time.Sleep(20 * time.Millisecond)
	test.True(t, conns.IsOpen(server))
	io.ReadFull(server, make([]byte, 2))
	client.Close()
	time.Sleep(20 * time.Millisecond)
	test.False(t, conns.IsOpen(server))
}
