package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// bareText returns the text of a response with the given header fields, each ended by
// a line break, and without a body.
func bareText(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: 0\r\n\r\n", status, fields)
}

// doInOrder sends requests on one connection, each after the response to the one before.
// The link of each request is back in the pool before the next one is read. It returns the
// last response.
func (r *rig) doInOrder(texts ...string) response {
	c := r.dial()
	br := bufio.NewReader(c)
	var last response
	for _, text := range texts {
		io.WriteString(c, text)
		var err error
		last, err = readResponseFrom(br)
		must.NoError(r.t, err)
	}
	return last
}

// inTurn runs scripts one after the other in answer to one request.
func inTurn(ss ...script) script {
	return func(c net.Conn, g receivedRequest) bool {
		for _, s := range ss {
			if !s(c, g) {
				return false
			}
		}
		return true
	}
}

// TestAnswersWithoutTheIDOnAReusedLink guards against taking a response to an earlier
// request, or to none, for the answer because it is next on the connection.
func TestAnswersWithoutTheIDOnAReusedLink(t *testing.T) {
	ids := []struct{ name, field string }{
		{"missing", ""}, {"empty", "Id:\r\n"}, {"earlier", "Id: r1\r\n"}, {"other", "Id: x9\r\n"},
	}
	for _, status := range []int{200, 204, 302, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		for _, id := range ids {
			for _, notRun := range []string{"", "Not-Run: 1\r\n"} {
				for copies := 1; copies <= maxStaleResponses; copies++ {
					t.Run(fmt.Sprintf("%d with ID %s, %q, %d copies", status, id.name, notRun, copies), func(t *testing.T) {
						extra := raw(bareText(status, id.field+notRun+"Signed: 1\r\nRetry-After: 9\r\nLimit: 0\r\n"), true)
						second := []script{ok("yes")}
						for range copies {
							second = append([]script{extra}, second...)
						}
						e := newEndpoint(t, "e", ok("first"), inTurn(second...))
						r := newRig(t, e, e.alias("f"))
						res := r.doInOrder(request("GET", "/safe/", "r1", ""), request("GET", "/safe/", "r2", ""))
						test.Eq(t, 200, res.status)
						test.Eq(t, "yes", res.body)
						test.SliceLen(t, 2, e.requests())
						test.Eq(t, 1, e.conns)
						test.Zero(t, r.server.endpointLimits.count.Load())
					})
				}
			}
		}
	}
}

// TestResponseAfterTheAnswerIsNotTheNextAnswer guards against a second response that is
// written right after the first one, in one piece or in two.
func TestResponseAfterTheAnswerIsNotTheNextAnswer(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nfirst"
	for _, status := range []int{200, 404, 421, 429, 500, 503} {
		for _, fields := range []string{"", "Id: r1\r\n", "Id: r2\r\n"} {
			extra := bareText(status, fields+"Not-Run: 1\r\nSigned: 1\r\n")
			scripts := map[string]script{"one piece": raw(first+extra, true), "two pieces": inTurn(raw(first, true), raw(extra, true))}
			if fields == "Id: r2\r\n" {
				// Nothing but its place shows that this one is no answer.
				delete(scripts, "two pieces")
			}
			for name, s := range scripts {
				t.Run(fmt.Sprintf("%d %q in %s", status, fields, name), func(t *testing.T) {
					e := newEndpoint(t, "e", s, ok("yes"))
					r := newRig(t, e, e.alias("f"))
					res := r.doInOrder(request("GET", "/safe/", "r1", ""), request("GET", "/safe/", "r2", ""))
					test.Eq(t, "yes", res.body)
					test.SliceLen(t, 2, e.requests())
				})
			}
		}
	}
}

// TestPromiseWithoutTheIDIsNotPassedOn guards against telling a caller, by status, that
// its request has not run if the endpoint did not say so of this request.
func TestPromiseWithoutTheIDIsNotPassedOn(t *testing.T) {
	ids := []struct{ name, field string }{{"missing", ""}, {"empty", "Id:\r\n"}, {"other", "Id: x9\r\n"}}
	links := []struct {
		name string
		dial func(t *testing.T, e *scriptedEndpoint) *rig
	}{
		{"new link", func(t *testing.T, e *scriptedEndpoint) *rig { return newRig(t, e, e.alias("f")) }},
		{"tunnel", func(t *testing.T, e *scriptedEndpoint) *rig {
			c := newCutRig(t, e, e.alias("f"))
			c.lost.Store(true)
			return c.rig
		}},
	}
	for _, l := range links {
		for _, status := range []int{400, 408, 421, 429, 503} {
			for _, id := range ids {
				t.Run(fmt.Sprintf("%s, %d with ID %s", l.name, status, id.name), func(t *testing.T) {
					text := bareText(status, id.field+"Not-Run: 1\r\nConnection: close\r\n")
					e := newEndpoint(t, "e", raw(text, false), ok("run twice"))
					r := l.dial(t, e)
					res := r.do(request("POST", "/once/", "r1", "x"))
					test.Eq(t, 502, res.status)
					test.SliceLen(t, 1, e.requests())
				})
				t.Run(fmt.Sprintf("%s, %d with ID %s before the answer", l.name, status, id.name), func(t *testing.T) {
					extra := raw(bareText(status, id.field+"Not-Run: 1\r\n"), true)
					e := newEndpoint(t, "e", inTurn(extra, ok("yes")))
					r := l.dial(t, e)
					test.Eq(t, "yes", r.do(request("POST", "/once/", "r1", "x")).body)
					test.SliceLen(t, 1, e.requests())
				})
			}
		}
	}
}

// TestErrorWithoutAnIDIsTheAnswerOnANewLink guards against waiting for another answer
// after an endpoint rejected a request without echoing its ID.
func TestErrorWithoutAnIDIsTheAnswerOnANewLink(t *testing.T) {
	for _, status := range []int{302, 400, 404, 409, 500, 502, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			e := newEndpoint(t, "e", raw(bareText(status, "Limit: 0\r\nFault: "+"127.0.0.1:1\r\n"), true))
			r := newRig(t, e)
			test.Eq(t, status, r.do(request("POST", "/once/", "r1", "x")).status)
			test.Zero(t, r.server.endpointLimits.count.Load())
		})
	}
}

// TestTooManyResponsesToOtherRequestsEndTheLink guards against an unbounded search for
// the answer, and against a promise at the end of it.
func TestTooManyResponsesToOtherRequestsEndTheLink(t *testing.T) {
	var flood []script
	for range maxStaleResponses + 1 {
		flood = append(flood, raw(bareText(503, "Not-Run: 1\r\n"), true))
	}
	e := newEndpoint(t, "e", ok("first"), inTurn(append(flood, neverResponds)...), ok("again"))
	r := newRig(t, e, e.alias("f"))
	test.Eq(t, "again", r.doInOrder(request("GET", "/safe/", "r1", ""), request("GET", "/safe/", "r2", "")).body)
	test.Eq(t, 2, e.conns)
}

// TestRequestWithoutAnIDGetsANewLink guards against a response that can't be told from
// one to an earlier request.
func TestRequestWithoutAnIDGetsANewLink(t *testing.T) {
	e := newEndpoint(t, "e", ok("first"), ok("yes"))
	r := newRig(t, e)
	res := r.doInOrder(request("GET", "/safe/", "r1", ""), "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\n\r\n")
	test.Eq(t, "yes", res.body)
	test.Eq(t, 2, e.conns)
}

// TestPromiseToARequestWithoutAnIDIsBelieved guards against an unknown outcome where an
// endpoint rejects a request because it has no ID.
func TestPromiseToARequestWithoutAnIDIsBelieved(t *testing.T) {
	e := newEndpoint(t, "e", raw(bareText(400, "Not-Run: 1\r\n"), true))
	r := newRig(t, e)
	test.Eq(t, 400, r.do("POST /once/ HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nContent-Length: 0\r\n\r\n").status)
}

// TestResponseBeforeTheWholeRequestIsMatchedByID guards against a response that arrives
// while a long body is still being written.
func TestResponseBeforeTheWholeRequestIsMatchedByID(t *testing.T) {
	body := make([]byte, 600<<10)
	for i := range body {
		body[i] = 'b'
	}
	extra := bareText(503, "Not-Run: 1\r\n")
	e := newEndpoint(t, "e", ok("first"), inTurn(raw(extra, true), ok("yes")))
	e.beforeBody = func(c net.Conn, h *http1.Request) {
		if h.Length > maxInlineBody {
			io.WriteString(c, extra)
		}
	}
	r := newRig(t, e, e.alias("f"))
	res := r.doInOrder(request("GET", "/safe/", "r1", ""), request("POST", "/safe/", "r2", string(body)))
	test.Eq(t, "yes", res.body)
	test.SliceLen(t, 2, e.requests())
}

// TestInterimResponsesAreNoAnswers guards against an interim response that is taken for
// the answer, or for one of the responses that are skipped.
func TestInterimResponsesAreNoAnswers(t *testing.T) {
	interim := raw("HTTP/1.1 100 Continue\r\nNot-Run: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: %ID\r\nNot-Run: 1\r\n\r\n", true)
	stale := raw(bareText(503, "Not-Run: 1\r\n"), true)
	e := newEndpoint(t, "e", ok("first"), inTurn(interim, stale, interim, ok("yes")))
	r := newRig(t, e, e.alias("f"))
	test.Eq(t, "yes", r.doInOrder(request("GET", "/safe/", "r1", ""), request("GET", "/safe/", "r2", "")).body)
	test.SliceLen(t, 2, e.requests())
}

// TestRefusalByTheSameAddressIsNotBelievedTwice guards against a request that is sent to
// the next endpoint at an address, where its refusal by the one before arrives once more
// with its ID.
func TestRefusalByTheSameAddressIsNotBelievedTwice(t *testing.T) {
	for _, status := range []int{421, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var refused net.Conn
			refuse := func(c net.Conn, g receivedRequest) bool {
				refused = c
				return refuses(status)(c, g)
			}
			again := func(c net.Conn, g receivedRequest) bool {
				refuses(status)(refused, g)
				return ok("yes")(c, g)
			}
			e := newEndpoint(t, "e", refuse, again, ok("run twice"))
			r := newRig(t, e, e.alias("f"))
			res := r.do(request("GET", "/safe/", "r1", ""))
			test.Eq(t, 200, res.status)
			test.SliceLen(t, 2, e.requests())
		})
	}
}
