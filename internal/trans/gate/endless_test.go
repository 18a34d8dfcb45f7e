package gate

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
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
		// isMalformed is set if the first bytes show that they are no answer.
		isMalformed bool
	}{
		{"no line end", endless("", kilobyte, 0), false},
		{"lines", endless("", "x\n", 0), true},
		{"fields", endless("HTTP/1.1 200 OK\r\n", "A: b\r\n", 0), false},
		{"interim responses", endless("", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), 0), false},
		{"response to another request", endless(other, chunked(kilobyte), 0), false},
		{"chunks", endless(signed+"Transfer-Encoding: chunked\r\n\r\n", chunked(kilobyte), 0), false},
		{"body without a length", endless(signed+"\r\n", kilobyte, 0), false},
		{"chunk extension", endless(signed+"Transfer-Encoding: chunked\r\n\r\n1;", kilobyte, 0), false},
		{"trailer", endless(signed+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 0), false},
	} {
		e := newEndpoint(t, "e", c.script)
		r := newConfiguredRig(t, 0, func(s *Server) { s.MaxBufferedBytes = 1 << 20 }, e)
		res := r.do(request("POST", "/once/", "r1", ""))
		test.Eq(t, 502, res.status, test.Sprint(c.name, ": 504 is the deadline"))
		test.Eq(t, 0, r.server.answers.Held(), test.Sprint(c.name))
		// Other answers don't make up for one without end.
		r.server.endpointHealth.recordSuccess("ep")
		test.Eq(t, !c.isMalformed, r.server.endpointHealth.isAvoided("ep", time.Now().Add(floodAvoidTime/2)), test.Sprint(c.name))
		test.False(t, r.server.endpointHealth.isAvoided("ep", time.Now().Add(floodAvoidTime)), test.Sprint(c.name))
		floods := 1.0
		if c.isMalformed {
			floods = 0
		}
		test.Eq(t, floods, counterValue(t, r.server, "laburnum_endless_answers_total"), test.Sprint(c.name))
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

// slowly answers with a body of the given size, in parts with pauses between them.
func slowly(size int) script {
	const parts = 20
	return func(c net.Conn, g receivedRequest) bool {
		head := "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
		io.WriteString(c, strings.ReplaceAll(head, "%ID", g.field("Id")))
		for range parts {
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, strings.Repeat("y", size/parts))
		}
		return true
	}
}

// Guards against requests of other callers that end, after they have run, since an endpoint
// that sends without end has taken the memory for answers.
func TestEndlessAnswersEndNoOthers(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n"
	const callers, soundSize = 60, 60_000
	text := strings.Repeat("x", 1<<10)
	for _, c := range []struct {
		name   string
		target string
		script script
	}{
		{"chunks", "/once/", endless(signed+"Transfer-Encoding: chunked\r\n\r\n", chunked(text), 0)},
		{"body without a length", "/once/", endless(signed+"\r\n", text, 0)},
		{"an event", "/stream/", endless(streamHead, chunked(text), 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			sound, faulty := newEndpoint(t, "sound", slowly(soundSize)), newEndpoint(t, "faulty", c.script)
			r := newConfiguredRig(t, 0, func(s *Server) { s.MaxBufferedBytes = 8 << 20 }, sound, faulty)
			responses := make(chan response, callers)
			for i := range callers {
				go func() { responses <- r.do(request("POST", c.target, "r"+strconv.Itoa(i), "", "Prompt: 100")) }()
			}
			answered := 0
			for range callers {
				if res := <-responses; res.status == 200 {
					answered++
					test.Eq(t, soundSize, strings.Count(res.body, "y"), test.Sprintf("%d bytes, %v", len(res.body), res.err))
				}
			}
			test.Positive(t, len(faulty.requests()))
			test.Positive(t, len(sound.requests()))
			test.Eq(t, len(sound.requests()), answered, test.Sprint("a sound answer was lost"))
			for r.server.InFlightCount() > 0 {
				time.Sleep(time.Millisecond)
			}
			test.Eq(t, 0, r.server.answers.Held())
		})
	}
}

// Guards against callers whose bodies take the memory of the node, so that the requests of
// others end with its process.
func TestBodiesOfCallersAreBounded(t *testing.T) {
	const size, served = 1 << 20, 4
	e := newEndpoint(t, "e", ok("yes"))
	r := newConfiguredRig(t, 0, func(s *Server) { s.MaxRequestBytes = served * size }, e)
	r.setLimits(func(l *topol.Limits) { l.MaxBodyBytes = 2 << 20 })
	head := func(framing string) string {
		return "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nId: r\r\nKey: secret\r\n" + framing + "\r\n\r\n"
	}
	sized := head("Content-Length: " + strconv.Itoa(size))
	var waiting []net.Conn
	for i := range served {
		c := r.dial()
		io.WriteString(c, sized+"x")
		for r.server.requestBytes.Used() < int64(i+1)*size {
			time.Sleep(time.Millisecond)
		}
		waiting = append(waiting, c)
	}
	res := r.do(sized + "x")
	test.Eq(t, 503, res.status)
	test.True(t, res.closesConn)
	test.NotEq(t, "", res.header.Get("Retry-After"))
	test.Eq(t, 503, r.do(head("Transfer-Encoding: chunked")+chunked("hello")+lastChunk).status)
	test.Eq(t, 200, r.do(request("POST", "/safe/", "r", "small")).status)
	for _, c := range waiting {
		io.WriteString(c, strings.Repeat("x", size-1))
		res, err := readResponse(c)
		must.NoError(t, err)
		test.Eq(t, 200, res.status)
	}
	test.Eq(t, 200, r.do(head("Transfer-Encoding: chunked")+chunked("hello")+lastChunk).status)
	for r.server.InFlightCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	test.Eq(t, 0, r.server.requestBytes.Used())
}
