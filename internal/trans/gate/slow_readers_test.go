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

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

// newPatientRig returns a rig whose routes have long timeouts.
func newPatientRig(t *testing.T, configure func(*Server), es ...*scriptedEndpoint) *rig {
	r := newConfiguredRig(t, 0, configure, es...)
	c := testCatalog()
	c.Version++
	for _, route := range c.Routes {
		route.Timeout, route.Target, route.Gap = time.Minute, time.Minute, time.Minute
	}
	c.Limits.MaxBodyBytes = 2 << 20
	r.server.Feeds.UpdateCatalog(c)
	return r
}

// patientRequest returns a request whose caller sets no limit.
func patientRequest(method, target, body string) string {
	return strings.Replace(request(method, target, "r", body), "Left: 4000\r\n", "", 1)
}

// dialSlow opens a connection whose caller reads nothing, and which its close resets.
func (r *rig) dialSlow(text string) net.Conn {
	c := r.dial()
	must.NoError(r.t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	must.NoError(r.t, c.(*net.TCPConn).SetLinger(0))
	io.WriteString(c, text)
	return c
}

// Guards against callers that don't read their answers, for which the node holds more and more:
// answers count until they are written. Those of other callers end if they are large, and small
// ones are served.
func TestAnswersOfSlowCallersAreBounded(t *testing.T) {
	const size, held = 8 << 20, 2
	large := ok(strings.Repeat("y", size))
	e := newEndpoint(t, "e", func(c net.Conn, g receivedRequest) bool {
		if g.body == "small" {
			return ok("yes")(c, g)
		}
		return large(c, g)
	})
	r := newPatientRig(t, func(s *Server) { s.MaxBufferedBytes = held*size + 1<<20 }, e)
	var slow []net.Conn
	for i := range held {
		slow = append(slow, r.dialSlow(patientRequest("POST", "/once/", "large")))
		waitFor(t, func() bool { return r.server.answers.Held() == int64(i+1)*size })
	}
	test.Eq(t, 502, r.do(patientRequest("POST", "/once/", "large")).status)
	test.Eq(t, held*size, r.server.answers.Held())
	test.Eq(t, "yes", r.do(patientRequest("POST", "/once/", "small")).body)
	for _, c := range slow {
		c.Close()
	}
	waitFor(t, func() bool { return r.server.InFlightCount() == 0 })
	test.Eq(t, 0, r.server.answers.Held())
	test.Eq(t, size, len(r.do(patientRequest("POST", "/once/", "large")).body))
}

// Guards against a stream that the node reads faster than its caller, and keeps. All buffers of the
// system together take less than the endpoint offers.
func TestStreamWaitsForASlowCaller(t *testing.T) {
	const offered = 64 << 20
	stalled := make(chan bool, 1)
	data := "\ndata: " + strings.Repeat("x", 8<<10) + "\n\n"
	e := newEndpoint(t, "e", func(c net.Conn, g receivedRequest) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", g.field("Id")))
		for id := 1; id*len(data) < offered && err == nil; id++ {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(c, chunked("id: "+strconv.Itoa(id)+data))
		}
		stalled <- err != nil
		return false
	})
	r := newPatientRig(t, func(s *Server) { s.MaxBufferedBytes = 1 << 20 }, e)
	c := r.dialSlow(patientRequest("POST", "/stream/", "x"))
	test.True(t, <-stalled, test.Sprint("the endpoint could write everything"))
	test.LessEq(t, memory.FreeBytes, r.server.answers.Held())
	c.Close()
	waitFor(t, func() bool { return r.server.InFlightCount() == 0 })
	test.Eq(t, 0, r.server.answers.Held())
}

// Guards against endpoints that take long bodies slowly, for which the node holds more and more:
// bodies count until their requests have ended. Further ones are refused, and small ones are served.
func TestBodiesForSlowEndpointsAreBounded(t *testing.T) {
	const size, held = 1 << 20, 4
	goOn := make(chan struct{})
	e := newEndpoint(t, "e", ok("yes"))
	headers := make(chan struct{}, held)
	e.beforeBody = func(_ net.Conn, req *http1.Request) {
		if req.Length >= size {
			headers <- struct{}{}
			<-goOn
		}
	}
	r := newPatientRig(t, func(s *Server) { s.MaxRequestBytes = held * size }, e)
	long := patientRequest("POST", "/once/", strings.Repeat("x", size))
	results := make(chan response, held)
	for range held {
		go func() { results <- r.do(long) }()
	}
	for range held {
		<-headers
	}
	test.Eq(t, held*size, r.server.requestBytes.Used())
	res := r.do(long)
	test.Eq(t, 503, res.status)
	test.NotEq(t, "", res.header.Get("Retry-After"))
	test.Eq(t, held*size, r.server.requestBytes.Used())
	test.Eq(t, "yes", r.do(patientRequest("POST", "/once/", "small")).body)
	close(goOn)
	for range held {
		test.Eq(t, "yes", (<-results).body)
	}
	waitFor(t, func() bool { return r.server.InFlightCount() == 0 })
	test.Eq(t, 0, r.server.requestBytes.Used())
	for _, g := range e.requests() {
		test.True(t, g.body == "small" || len(g.body) == size, test.Sprint(len(g.body)))
	}
}
