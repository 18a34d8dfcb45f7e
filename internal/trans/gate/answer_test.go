package gate

import (
	"fmt"
	"io"
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

