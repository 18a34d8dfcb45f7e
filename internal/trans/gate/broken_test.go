package gate

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// brokenAnswer is a form of answers that are broken off after each of their bytes.
type brokenAnswer struct {
	name, target, text string
	// body is the whole body that a caller gets.
	body string
	// endsWithConn is set if the end of the connection marks the end of the answer, so that
	// an answer which is broken off by a clean close after its header can't be told from a
	// whole one.
	endsWithConn bool
}

const signedHead = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n"

func brokenAnswers() []brokenAnswer {
	length := signedHead + "Content-Length: 5\r\n\r\nhello"
	trailer := signedHead + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nSum: 1\r\n\r\n"
	unframed := signedHead + "Connection: close\r\n\r\nhello"
	events := event(1) + event(2)
	eventHead := signedHead + "Content-Type: text/event-stream\r\n"
	var as []brokenAnswer
	for _, target := range []string{"/safe/", "/once/"} {
		as = append(as,
			brokenAnswer{"length", target, length, "hello", false},
			brokenAnswer{"chunks and a trailer", target, trailer, "hello", false},
			brokenAnswer{"interim answers", target, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + length, "hello", false},
			brokenAnswer{"no framing", target, unframed, "hello", true},
		)
	}
	return append(as,
		brokenAnswer{"chunks", "/stream/", eventHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(event(1)) + chunked(event(2)) + lastChunk, events, false},
		brokenAnswer{"length", "/stream/", eventHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events, events, false},
		brokenAnswer{"no framing", "/stream/", eventHead + "Connection: close\r\n\r\n" + events, events, true},
	)
}

// firstTarget is the target of requests that are answered as a whole, so that the link is kept.
const firstTarget = "/safe/first"

// answersCutAt returns a script that answers with the first bytes of a text and then closes or
// resets the connection.
func answersCutAt(cut *atomic.Int32, text string, reset bool) script {
	return func(c net.Conn, g receivedRequest) bool {
		if string(g.head.Target) == firstTarget {
			return ok("first")(c, g)
		}
		whole := strings.ReplaceAll(text, "%ID", g.field("Id"))
		io.WriteString(c, whole[:min(int(cut.Load()), len(whole))])
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against callers who get a success with an empty or short body that looks whole, since
// an endpoint stopped in the middle of its answer, also within the header.
func TestNoByteOfABrokenAnswerLooksWhole(t *testing.T) {
	ways := []struct {
		name             string
		kept, overTunnel bool
	}{
		{"new link", false, false},
		{"kept link", true, false},
		{"tunnel", false, true},
	}
	for _, a := range brokenAnswers() {
		for _, w := range ways {
			for _, reset := range []bool{false, true} {
				if w.kept && a.target == "/once/" {
					// Such requests always get a new link.
					continue
				}
				t.Run(fmt.Sprint(a.target, a.name, ", ", w.name, ", reset ", reset), func(t *testing.T) {
					t.Parallel()
					breakAnswer(t, a, w.kept, w.overTunnel, reset)
				})
			}
		}
	}
}

func breakAnswer(t *testing.T, a brokenAnswer, kept, overTunnel, reset bool) {
	var cut atomic.Int32
	e := newEndpoint(t, "e", answersCutAt(&cut, a.text, reset))
	var r *rig
	if overTunnel {
		c := newCutRig(t, e)
		c.lost.Store(true)
		r = c.rig
	} else {
		r = newRig(t, e)
	}
	whole := strings.ReplaceAll(a.text, "%ID", "r100")
	bodyBegins := strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
	for n := range len(whole) {
		cut.Store(int32(n))
		if kept {
			must.Eq(t, 200, doUntilSent(t, r, e, request("GET", firstTarget, "first", "")).status)
		}
		res := doUntilSent(t, r, e, request("GET", fmt.Sprint(a.target, n), fmt.Sprint("r", 100+n), ""))
		if res.status != 200 || res.err != nil || res.body == a.body {
			continue
		}
		if a.endsWithConn && !reset && n >= bodyBegins && endsAtEvent(a, res.body) {
			continue
		}
		t.Errorf("after %d bytes of %q the caller got %d with %q", n, a.text, res.status, res.body)
	}
	if kept {
		e.mu.Lock()
		defer e.mu.Unlock()
		must.Less(t, len(e.received), e.conns, must.Sprint("links were kept"))
	}
}

// maxUnsent bounds the refusals of a request that doesn't reach the endpoint.
const maxUnsent = 20

// doUntilSent sends a request until it reaches the endpoint. On a busy host, a connection over a
// tunnel can take longer than the node waits for it; the node then refuses the request.
func doUntilSent(t *testing.T, r *rig, e *scriptedEndpoint, text string) response {
	sent := len(e.requests())
	for range maxUnsent {
		res := r.do(text)
		if len(e.requests()) > sent {
			return res
		}
		must.Eq(t, 503, res.status, must.Sprint("a request that was not sent is refused"))
	}
	t.Fatal("the request did not reach the endpoint")
	return response{}
}

// endsAtEvent reports whether a body that was broken off does not end inside an event.
func endsAtEvent(a brokenAnswer, body string) bool {
	return a.target != "/stream/" || strings.HasSuffix(body, "\n\n")
}
