package conns_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Guards against an answer that breaks off, also within its header, and is taken for a whole
// one with an empty or short body.
func TestNoByteOfABrokenAnswerLooksWhole(t *testing.T) {
	const body = "hello"
	cases := []struct{ name, answer string }{
		{"length", "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 5\r\n\r\nhello"},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nSum: 1\r\n\r\n"},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
		{"no framing", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bodyBegins := strings.LastIndex(c.answer, "\r\n\r\n") + len("\r\n\r\n")
			if strings.Contains(c.answer, "chunked") {
				bodyBegins = len(c.answer)
			}
			for n := range len(c.answer) {
				addr, _ := serve(t, c.answer[:n], true)
				status, got, err := getStatus(&conns.Pool{Address: addr})
				if err != nil || status != 200 || string(got) == body {
					continue
				}
				if c.name == "no framing" && n >= bodyBegins {
					// The end of the connection marks the end of the body.
					continue
				}
				t.Errorf("after %d bytes of %q: %q", n, c.answer, got)
			}
			addr, _ := serve(t, c.answer, true)
			status, got, err := getStatus(&conns.Pool{Address: addr})
			must.NoError(t, err)
			test.Eq(t, fmt.Sprint(200, body), fmt.Sprint(status, string(got)))
		})
	}
}

// getStatus returns the status and the body of the answer to a request.
func getStatus(p *conns.Pool) (int, []byte, error) {
	r, err := request(p, time.Second)
	if err != nil {
		return 0, nil, err
	}
	defer r.Close()
	b, err := r.ReadAll(1 << 20)
	return r.Status, b, err
}

// Guards against a call that never ends since the server sends interim responses only.
func TestEndlessInterimResponses(t *testing.T) {
	addr, _ := serve(t, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), false)
	_, _, err := getStatus(&conns.Pool{Address: addr})
	test.ErrorIs(t, err, conns.ErrNoResponse)
}
