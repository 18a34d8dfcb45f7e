package gate

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// answers responds with a status, further fields and a body.
func answers(status int, fields, body string) script {
	return raw(fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body), true)
}

// resumeWith sends a stream to an endpoint that breaks off after two events, and then to
// one with the given script.
func resumeWith(t *testing.T, s script) response {
	e := newEndpoint(t, "e", streams(1, 2, false), s)
	r := newRig(t, e, e.alias("f"), e.alias("g"))
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	must.SliceLen(t, 2, e.requests())
	return res
}

// Guards against the answer of the next endpoint, its header included, in the middle of a
// caller's stream, or as its end.
func TestOnlyEventsAreWrittenIntoABegunStream(t *testing.T) {
	const signed = "Id: %ID\r\nSigned: 1\r\n"
	var scripts []script
	var names []string
	for _, status := range []int{302, 400, 404, 409, 429} {
		scripts = append(scripts, answers(status, signed, "oops\n\n"))
		names = append(names, fmt.Sprint(status))
	}
	scripts = append(scripts, answers(400, "", "oops\n\n"))
	names = append(names, "400 without an ID")
	for i, s := range scripts {
		t.Run(names[i], func(t *testing.T) {
			res := resumeWith(t, s)
			test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut, and nothing else is written"))
			test.Eq(t, event(1)+event(2), res.body)
		})
	}
}

const streamType = "Content-Type: text/event-stream\r\n"

// Guards against a stream that ends as if it were complete, or goes on with bytes that are
// no events of it, since the next endpoint answered with a success of another kind.
func TestOnlySignedEventsContinueAStream(t *testing.T) {
	const signed = "Id: %ID\r\nSigned: 1\r\n"
	rest := event(3) + event(4)
	for _, c := range []struct {
		name   string
		script script
	}{
		{"204", raw("HTTP/1.1 204 No Content\r\n"+signed+"\r\n", true)},
		{"204 of the type", raw("HTTP/1.1 204 No Content\r\n"+signed+streamType+"\r\n", true)},
		{"empty, another type", answers(200, signed+"Content-Type: text/plain\r\n", "")},
		{"another type", answers(200, signed+"Content-Type: text/html\r\n", "<p>\n\n")},
		{"events of another type", answers(200, signed+"Content-Type: text/plain\r\n", rest)},
		{"no type", answers(200, signed, rest)},
		{"another success", answers(206, signed+streamType, rest)},
		{"no signature", answers(200, "Id: %ID\r\n"+streamType, rest)},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := resumeWith(t, c.script)
			test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut"))
			test.Eq(t, event(1)+event(2), res.body)
		})
	}
}

// Guards against callers who take the answer of an unknown server for that of an endpoint.
func TestUnsignedStreamIsNotPassedOn(t *testing.T) {
	unsigned := answers(200, "Id: %ID\r\n"+streamType, event(1))
	e := newEndpoint(t, "e", unsigned, streams(1, 2, true))
	res := newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.Eq(t, event(1)+event(2), res.body)

	e = newEndpoint(t, "e", streams(1, 2, false), unsigned)
	res = newRig(t, e, e.alias("f"), e.alias("g")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut"))

	e = newEndpoint(t, "e", unsigned)
	res = newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.Eq(t, 502, res.status)
}

// Guards against answers to the first send of a stream that are forwarded as events, although
// they are none.
func TestAnswersToTheFirstSendOfAStreamArePassedOn(t *testing.T) {
	const signed = "Id: %ID\r\nSigned: 1\r\n"
	for _, c := range []struct {
		name   string
		script script
		status int
		body   string
	}{
		{"another type", answers(200, signed+"Content-Type: text/plain\r\n", "no events"), 200, "no events"},
		{"204", raw("HTTP/1.1 204 No Content\r\n"+signed+"\r\n", true), 204, ""},
		{"another success", answers(202, signed, "later"), 202, "later"},
		{"type with a parameter", answers(200, signed+"Content-Type: Text/Event-Stream; charset=utf-8\r\n", event(1)), 200, event(1)},
		{"error", answers(404, signed, "none"), 404, "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", c.script)
			res := newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
			test.NoError(t, res.err)
			test.Eq(t, c.status, res.status)
			test.Eq(t, c.body, res.body)
			test.SliceLen(t, 1, e.requests())
		})
	}
}

// Guards against bytes after the answer to a HEAD request, which the caller takes for its
// next answer.
func TestHeadRequestOfAStreamHasNoBody(t *testing.T) {
	e := newEndpoint(t, "e", raw("HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n"+streamType+"Transfer-Encoding: chunked\r\n\r\n", true))
	c := newRig(t, e).dial()
	io.WriteString(c, request("HEAD", "/stream/", "r1", "", "Prompt: 100", "Connection: close"))
	b, err := io.ReadAll(c)
	must.NoError(t, err)
	_, after, _ := strings.Cut(string(b), "\r\n\r\n")
	test.Eq(t, "", after)
}
