package front

import (
	"bufio"
	"bytes"
	"context"
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
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/serve"
)

func TestParseTimeLimit(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"1500", 1500 * time.Millisecond},
		{"1.5s", 1500 * time.Millisecond},
		{"0", 0}, {"-1", 0}, {"-1s", 0}, {"", 0}, {"soon", 0}, {"99999999999", 0},
	}
	for _, c := range cases {
		d, err := parseTimeLimit(c.header)
		test.Eq(t, c.want, d, test.Sprint(c.header))
		test.Eq(t, c.want == 0, err != nil, test.Sprint(c.header))
	}
}

func TestHostOnly(t *testing.T) {
	cases := []struct{ in, want string }{
		{"Portal.Example:8080", "portal.example"}, {"portal", "portal"}, {"", ""}, {"[::1]:80", "[::1]"}, {"[::1]", "[::1]"},
	}
	for _, c := range cases {
		test.Eq(t, c.want, hostOnly(c.in), test.Sprint(c.in))
	}
}

func TestReadUpTo(t *testing.T) {
	cases := []struct {
		body        string
		n           int64
		lengthKnown bool
		wantLen     int
		wantErr     bool
	}{
		{"hello", 5, true, 5, false},
		{"hell", 5, true, 0, true},
		{"hello", 3, false, 4, false},
		{"he", 3, false, 2, false},
	}
	for _, c := range cases {
		b, err := readUpTo(bytes.NewBufferString(c.body), c.n, c.lengthKnown)
		test.Eq(t, c.wantErr, err != nil)
		if !c.wantErr {
			test.Eq(t, c.wantLen, len(b))
		}
	}
}

// Guards against a bare cut, or a request read from the body, after a
// Content-Length that makes no sense.
func TestAbsurdContentLengthIsRejected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &Server{Core: &serve.Core{Metrics: serve.NewMetrics(prometheus.NewRegistry()), Ring: trace.NewRing("n", &trace.Clock{}, 100)}, Logger: zerolog.Nop(), HasConfig: func() bool { return false }}
	s.Init()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx, l)
	defer s.Stop(ctx)
	for _, length := range []string{"99999999999999999999", "9223372036854775808", "-1", "-99999999999999999999", "+3", "abc", "3 4", "0x10", ""} {
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		defer c.Close()
		must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: "+length+"\r\n\r\nGET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		must.NoError(t, err)
		br := bufio.NewReader(c)
		res, err := http.ReadResponse(br, nil)
		must.NoError(t, err, must.Sprint(length))
		test.Eq(t, 400, res.StatusCode, test.Sprint(length))
		_, err = io.Copy(io.Discard, res.Body)
		test.NoError(t, err, test.Sprint(length))
		_, err = br.ReadByte()
		test.ErrorIs(t, err, io.EOF, test.Sprint(length))
	}
}

// FuzzHeaders checks that no header of a caller makes the parsing panic or
// return malformed values.
func FuzzHeaders(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a:b:c\r\nAuthorization: Bearer\r\nX-Time-Limit: 1e9\r\n\r\n"))
	f.Add([]byte("POST /v1/completions HTTP/1.1\r\nHost: [::1\r\nIdempotency-Key: \xff\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(bytes.NewReader(raw))) != nil {
			return
		}
		host := hostOnly(string(h.Host()))
		test.Eq(t, strings.ToLower(host), host)
		key := bearerToken(h.Peek("Authorization"))
		test.Eq(t, strings.TrimSpace(key), key)
		d, err := parseTimeLimit(string(h.Peek(TimeLimitHeader)))
		test.Eq(t, err == nil, d > 0)
	})
}

// Guards against a response that is written during a drain and doesn't announce the close
// of its connection, since the drain began after its request had arrived.
func TestDrainIsAnnouncedByRequestsUnderWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &Server{Logger: zerolog.Nop()}
	s.HasConfig = func() bool {
		s.Drain()
		return true
	}
	s.Init()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx, l)
	defer s.Stop(ctx)
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	test.Eq(t, 503, res.StatusCode)
	test.True(t, res.Close)
}
