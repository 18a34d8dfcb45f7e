package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Guards against a status that is no status, or that changes the protocol, and counts as an
// answer or as an interim response before it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nhi"
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "2x0", "x20", "20x", "20", "2000", "0200", "+20", "-20", " 200", "1e2", ""} {
		for _, text := range []string{
			"HTTP/1.1 " + status + "\r\n" + rest,
			"HTTP/1.1 " + status + " OK\r\n" + rest,
			"HTTP/1.0 " + status + " OK\r\n" + rest,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " OK\r\n" + rest,
			"HTTP/1.1 " + status + " Text\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		} {
			addr, _ := serve(t, text, true)
			got, _, err := getStatus(&conns.Pool{Address: addr})
			test.ErrorIs(t, err, conns.ErrNoResponse, test.Sprintf("%q gave status %d", text, got))
		}
	}
}

// longBody is too long for the buffers between a client and a server that doesn't read it.
var longBody = strings.Repeat("upload ", 128<<10)

// earlyServer serves connections with a function that is called after each request's header.
// It returns a pool of connections with a small send buffer to it.
func earlyServer(t *testing.T, f func(net.Conn, *http.Request)) *conns.Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			f(c, req)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &conns.Pool{Address: l.Addr().String(), Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return c, err
	}}
}

func post(p *conns.Pool, body string) (string, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	req.SetBodyString(body)
	r, err := p.Do(context.Background(), conns.Call{Request: req})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := r.ReadAll(1 << 20)
	return string(b), err
}

// Guards against a part of an answer without length that counts as the whole, since the
// connection was reset beside the upload or after it.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for _, body := range []string{"short", longBody} {
		for _, closes := range []string{"", "Connection: close\r\n"} {
			for _, size := range []int{0, 5, 5000} {
				for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
					t.Run(fmt.Sprintf("%d sent, %q, %d answered, %s", len(body), closes, size, pause), func(t *testing.T) {
						t.Parallel()
						p := earlyServer(t, func(c net.Conn, _ *http.Request) {
							io.WriteString(c, "HTTP/1.1 200 OK\r\n"+closes+"\r\n"+strings.Repeat("x", size))
							time.Sleep(pause)
							c.(*net.TCPConn).SetLinger(0)
							c.Close()
						})
						_, err := post(p, body)
						test.Error(t, err)
					})
				}
			}
		}
	}
}

// Guards against a whole answer that is lost since it was sent before the end of the request,
// and against parts of one request that reach the server within the next one.
func TestEarlyAnswerBesideAWholeUpload(t *testing.T) {
	cases := []struct {
		name, head, end string
		closes          bool
	}{
		{"without length", "\r\nearly", "", true},
		{"with length", "Content-Length: 5\r\n\r\nearly", "", false},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n", "0\r\n\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bodies := make(chan string, 3)
			p := earlyServer(t, func(conn net.Conn, req *http.Request) {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head)
				if c.closes {
					conn.(*net.TCPConn).CloseWrite()
				}
				b, _ := io.ReadAll(req.Body)
				bodies <- string(b)
				io.WriteString(conn, c.end)
			})
			for _, body := range []string{longBody, "short", longBody} {
				got, err := post(p, body)
				must.NoError(t, err)
				test.Eq(t, "early", got)
				test.True(t, <-bodies == body)
			}
		})
	}
}
