package front

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/valyala/fasthttp"
)

func TestParseLimit(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"1500", 1500 * time.Millisecond},
		{"1.5s", 1500 * time.Millisecond},
		{"0", 0}, {"-1", 0}, {"-1s", 0}, {"", 0}, {"soon", 0}, {"99999999999", 0},
	}
	for _, c := range cases {
		d, err := parseLimit(c.header)
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

func TestBudget(t *testing.T) {
	var b budget
	test.True(t, b.take(6, 10))
	test.False(t, b.take(5, 10))
	test.True(t, b.take(4, 10))
	b.give(6)
	test.True(t, b.take(6, 10))
}

func TestReadUpTo(t *testing.T) {
	cases := []struct {
		body  string
		n     int64
		known bool
		got   int
		fails bool
	}{
		{"hello", 5, true, 5, false},
		{"hell", 5, true, 0, true},
		{"hello", 3, false, 4, false},
		{"he", 3, false, 2, false},
	}
	for _, c := range cases {
		b, err := readUpTo(bytes.NewBufferString(c.body), c.n, c.known)
		test.Eq(t, c.fails, err != nil)
		if !c.fails {
			test.Eq(t, c.got, len(b))
		}
	}
}

// FuzzHeaders checks that no header of a caller stops the node.
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
		key := bearer(h.Peek("Authorization"))
		test.Eq(t, strings.TrimSpace(key), key)
		d, err := parseLimit(string(h.Peek(TimeLimitHeader)))
		test.Eq(t, err == nil, d > 0)
	})
}
