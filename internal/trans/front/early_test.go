package front

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// startBeforeService starts a server before one service, and returns its address.
func startBeforeService(t *testing.T, service string) string {
	digest := sha256.Sum256([]byte("secret"))
	d := &confg.Document{
		Workspaces: map[ident.WorkspaceName]confg.Workspace{"ana": {Keys: []string{hex.EncodeToString(digest[:])}, MaxRequests: 9, MaxTokens: 9}},
		Endpoints:  map[ident.EndpointName]confg.Endpoint{"s": {Address: service, Kind: confg.Service}},
		Routes:     map[ident.RouteName]confg.Route{"r": {PathPrefix: "/", Class: confg.Plain, Idempotent: true, Endpoints: []ident.EndpointName{"s"}, TimeLimit: confg.Duration(time.Minute)}},
		Limits:     confg.Limits{BodyBytes: 8 << 20, MemoryBytes: 64 << 20, RetryPercent: 10},
	}
	core := &serve.Core{
		Pools: &conns.Pools{}, Ring: trace.NewRing("n", &trace.Clock{}, 100), Ledger: ledgr.New(),
		Metrics: serve.NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
	}
	tb := table.New(1, d, nil)
	tb.Endpoints["s"].SetState(table.Up)
	core.SetTable(tb)
	s := &Server{Core: core, Logger: zerolog.Nop(), HasConfig: func() bool { return true }}
	s.Init()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx, l)
	t.Cleanup(func() { s.Stop(ctx); cancel() })
	return l.Addr().String()
}

// startService starts a service that writes a text after each request's header, and then
// ends the connection with a function.
func startService(t *testing.T, text string, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against callers who get a part of an answer as the whole, or a status that is none,
// also beside a long upload in chunks.
func TestCallersGetWholeAnswersOrErrors(t *testing.T) {
	reset := func(c *net.TCPConn) { c.SetLinger(0) }
	finish := func(c *net.TCPConn) {
		c.CloseWrite()
		io.Copy(io.Discard, c)
	}
	const sized = " OK\r\nContent-Length: 2\r\n\r\nhi"
	cases := []struct {
		name, text string
		end        func(*net.TCPConn)
		status     int
	}{
		{"reset before the body", "HTTP/1.1 200 OK\r\n\r\n", reset, 502},
		{"reset within the body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", reset, 502},
		{"cut before the length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", finish, 502},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", finish, 502},
		{"status 000", "HTTP/1.1 000" + sized, finish, 502},
		{"status 099", "HTTP/1.1 099" + sized, finish, 502},
		{"status 101", "HTTP/1.1 101" + sized, finish, 502},
		{"status 600", "HTTP/1.1 600" + sized, finish, 502},
		{"status 999", "HTTP/1.1 999" + sized, finish, 502},
		{"status 2x0", "HTTP/1.1 2x0" + sized, finish, 502},
		{"ended properly", "HTTP/1.1 200 OK\r\n\r\nhi", finish, 200},
		{"status 599", "HTTP/1.1 599" + sized, finish, 599},
	}
	short, long := "upload", strings.Repeat("upload ", 1<<20)
	for _, c := range cases {
		for _, body := range []string{short, long} {
			t.Run(fmt.Sprintf("%s, %d sent", c.name, len(body)), func(t *testing.T) {
				addr := startBeforeService(t, startService(t, c.text, c.end))
				conn, err := net.Dial("tcp", addr)
				must.NoError(t, err)
				defer conn.Close()
				fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				got, err := io.ReadAll(res.Body)
				test.NoError(t, err)
				test.Eq(t, c.status, res.StatusCode, test.Sprint(string(got)))
				if c.status != 502 {
					test.Eq(t, "hi", string(got))
				}
			})
		}
	}
}
