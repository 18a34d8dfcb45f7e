package gate

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// endless writes a beginning and then a text again and again, with a pause after each,
// until the other end closes the connection.
func endless(beginning, text string, pause time.Duration) script {
	return func(c net.Conn, g receivedRequest) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(beginning, "%ID", g.field("Id")))
		for err == nil {
			_, err = io.WriteString(c, text)
			time.Sleep(pause)
		}
		return false
	}
}

// Guards against an endpoint whose bytes are no answer and never end: it must not keep
// a request until its deadline, nor grow the memory of the node.
func TestEndlessBytesEndTheSend(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
	const signed = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for _, c := range []struct {
		name   string
		script script
	}{
		{"no line end", endless("", kilobyte, 0)},
		{"lines", endless("", "x\n", 0)},
		{"fields", endless("HTTP/1.1 200 OK\r\n", "A: b\r\n", 0)},
		{"interim responses", endless("", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), 0)},
		{"response to another request", endless(other, chunked(kilobyte), 0)},
		{"chunks", endless(signed+"Transfer-Encoding: chunked\r\n\r\n", chunked(kilobyte), 0)},
		{"body without a length", endless(signed+"\r\n", kilobyte, 0)},
		{"chunk extension", endless(signed+"Transfer-Encoding: chunked\r\n\r\n1;", kilobyte, 0)},
		{"trailer", endless(signed+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 0)},
	} {
		e := newEndpoint(t, "e", c.script)
		r := newRig(t, e)
		r.server.MaxBufferedBytes = 1 << 20
		res := r.do(request("POST", "/once/", "r1", ""))
		test.Eq(t, 502, res.status, test.Sprint(c.name, ": 504 is the deadline"))
		test.Eq(t, 0, r.server.bufferedBytes.Load(), test.Sprint(c.name))
	}
}

// Guards against a wait that is counted from no moment: an event may arrive in pieces.
func TestEventInPiecesIsForwarded(t *testing.T) {
	first := event(1) + event(2)[:4]
	whole := raw(streamHead+chunked(first, event(2)[4:])+lastChunk, true)
	slow := func(c net.Conn, g receivedRequest) bool {
		io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", g.field("Id"))+chunked(first))
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, chunked(event(2)[4:])+lastChunk)
		return true
	}
	for _, s := range []script{whole, slow} {
		e := newEndpoint(t, "e", s)
		res := newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "", "Prompt: 1000"))
		test.Eq(t, event(1)+event(2), res.body)
		test.SliceLen(t, 1, e.requests())
	}
}

// Guards against bytes of no event that keep a stream waiting: only events count as
// progress.
func TestStreamIsResumedElsewhereIfBytesAreNoEvents(t *testing.T) {
	garbage := endless(streamHead+chunked(event(1)), chunked("x"), 20*time.Millisecond)
	e := newEndpoint(t, "e", garbage, streams(2, 3, true))
	r := newRig(t, e, e.alias("f"))
	res := r.do(request("POST", "/stream/", "r1", "", "Prompt: 1000"))
	test.NoError(t, res.err)
	test.Eq(t, event(1)+event(2)+event(3), res.body)
}
