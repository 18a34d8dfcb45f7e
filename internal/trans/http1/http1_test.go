package http1

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

func TestResponses(t *testing.T) {
	cases := []struct {
		name    string
		text    string
		method  string
		status  int
		framing Framing
		closes  bool
		body    string
		bad     bool
	}{
		{"sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "GET", 200, Sized, false, "ab", false},
		{"chunked with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\nX: 1\r\n\r\n", "GET", 200, Chunked, false, "ab", false},
		{"until the connection closes", "HTTP/1.1 200 OK\r\n\r\nab", "GET", 200, UntilClose, true, "ab", false},
		{"to a HEAD request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD", 200, None, false, "", false},
		{"without content", "HTTP/1.1 204 No Content\r\n\r\n", "GET", 204, None, false, "", false},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "POST", 200, Sized, false, "", false},
		{"with Connection: close", "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 0\r\n\r\n", "GET", 200, Sized, true, "", false},
		{"with close in a later Connection field", "HTTP/1.1 200 OK\r\nConnection: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "GET", 200, Sized, true, "", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", 200, Sized, true, "", false},
		{"no status line", "hello\r\n\r\n", "GET", 0, 0, false, "", true},
		{"status out of range", "HTTP/1.1 999 No\r\n\r\n", "GET", 0, 0, false, "", true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", "GET", 0, 0, false, "", true},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", "GET", 0, 0, false, "", true},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n", "GET", 0, 0, false, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			br := reader(c.text)
			r, err := ReadResponse(br, 4096, c.method)
			if c.bad {
				test.Error(t, err)
				return
			}
			must.NoError(t, err)
			test.Eq(t, c.status, r.Status)
			test.Eq(t, c.framing, r.Framing)
			test.Eq(t, c.closes, r.Close)
			body, err := ReadBody(br, r.Framing, r.Length, 100)
			test.NoError(t, err)
			test.Eq(t, c.body, string(body))
		})
	}
}

func TestInvalidBodiesAreErrors(t *testing.T) {
	cases := []struct {
		name string
		f    Framing
		n    int64
		text string
	}{
		{"sized", Sized, 3, "ab"},
		{"chunk", Chunked, 0, "3\r\nab"},
		{"last chunk", Chunked, 0, "2\r\nab\r\n"},
		{"trailer", Chunked, 0, "2\r\nab\r\n0\r\n"},
		{"chunk size", Chunked, 0, "zz\r\nab\r\n0\r\n\r\n"},
		{"too long", Sized, 2000, strings.Repeat("a", 2000)},
		{"too long in chunks", Chunked, 0, "fff\r\n" + strings.Repeat("a", 0xfff) + "\r\n0\r\n\r\n"},
	}
	for _, c := range cases {
		_, err := ReadBody(reader(c.text), c.f, c.n, 1000)
		test.Error(t, err, test.Sprint(c.name))
		if c.f != Sized || c.n < 1000 {
			continue
		}
		test.ErrorIs(t, err, ErrBodyTooLong)
	}
}

func TestEndToEndOmitsHopByHopFields(t *testing.T) {
	h, err := ReadHead(reader("GET / HTTP/1.1\r\nA: 1\r\nConnection: B, close\r\nB: 2\r\nte: x\r\nC:3 \r\nUpgrade: y\r\n\r\n"), 4096)
	must.NoError(t, err)
	var b []byte
	h.EndToEnd(func(f Field) { b = f.Append(b) })
	test.Eq(t, "A: 1\r\nC: 3\r\n", string(b))
}

// Guards against reading only the first of several Connection fields: the fields that
// a later one lists must not be forwarded either, and its close counts.
func TestAllConnectionFieldsAreRead(t *testing.T) {
	r, err := ReadRequest(reader("GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\nX: 1\r\nY: 2\r\nConnection: x, Close\r\n\r\n"), 4096)
	must.NoError(t, err)
	test.True(t, r.Close)
	var b []byte
	r.EndToEnd(func(f Field) { b = f.Append(b) })
	test.Eq(t, "Host: a\r\nY: 2\r\n", string(b))
}

// FuzzRequest checks that an accepted request reads the same after it has been
// written again, so that an endpoint can't read two requests where the node
// read one.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x?y HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\n X: 1\r\n\r\n", "\r\n\r\n", "GET",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(raw), 64)
		r, err := ReadRequest(br, 2048)
		if err != nil {
			return
		}
		body, err := ReadBody(br, r.Framing, r.Length, 4096)
		if err != nil {
			return
		}
		out := append(bytes.Clone(r.StartLine), "\r\n"...)
		r.EndToEnd(func(f Field) { out = f.Append(out) })
		if r.Framing != None {
			out = AppendField(out, "Content-Length", strconv.Itoa(len(body)))
		}
		out = append(append(out, "\r\n"...), body...)
		again := bufio.NewReader(bytes.NewReader(out))
		r2, err := ReadRequest(again, 8192)
		must.NoError(t, err)
		test.Eq(t, string(r.Target), string(r2.Target))
		body2, err := ReadBody(again, r2.Framing, r2.Length, 4096)
		must.NoError(t, err)
		test.Eq(t, string(body), string(body2))
		_, err = again.ReadByte()
		test.ErrorIs(t, err, io.EOF)
	})
}

// FuzzResponse checks that any input gives a response or an error, and that a
// body of known length has that length.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 \r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "HTTP/1.1 2xx\r\n\r\n", "HTTP",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nSum: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
	} {
		// An answer may break off after each of its bytes.
		for n := range len(s) {
			f.Add([]byte(s[:n]))
		}
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(raw), 64)
		r, err := ReadResponse(br, 2048, "GET")
		if err != nil {
			return
		}
		body, err := ReadBody(br, r.Framing, r.Length, 4096)
		if err == nil && r.Framing == Sized {
			test.Eq(t, int(r.Length), len(body))
		}
	})
}

// Guards against processes that end by a limit that is negative or zero.
func TestLimitsBelowOneRejectAllRequests(t *testing.T) {
	for _, limit := range []int{0, -1, math.MinInt} {
		_, err := ReadHead(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\n\r\n")), limit)
		test.ErrorIs(t, err, ErrHeaderTooLong)
		_, err = ReadBody(bufio.NewReader(strings.NewReader("abc")), Sized, 3, limit)
		test.ErrorIs(t, err, ErrBodyTooLong)
	}
}

// Guards against a body that is forwarded as empty since its limit overflows.
func TestGreatestLimitTakesTheWholeBody(t *testing.T) {
	b, err := ReadBody(bufio.NewReader(strings.NewReader("3\r\nabc\r\n0\r\n\r\n")), Chunked, -1, math.MaxInt)
	must.NoError(t, err)
	test.Eq(t, "abc", string(b))
}
