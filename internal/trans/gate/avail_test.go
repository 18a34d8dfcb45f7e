package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// Guards against DRAIN: an endpoint that says in its answers that it is leaving got
// requests until its record said so too.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	leaving := newEndpoint(t, "e", raw("HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nyes", true))
	other := newEndpoint(t, "f", ok("yes"))
	r := newRig(t, leaving, other)
	for range 30 {
		test.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
	}
	test.LessEq(t, 1, len(leaving.requests()))
}

// Guards against requests to an endpoint that left, after the source has come back as an older
// copy in which it doesn't leave yet.
func TestListedEndpointThatLeftIsNotUsedAgain(t *testing.T) {
	r := newRig(t, newEndpoint(t, "f", ok("yes")))
	s := r.server
	listed := func(es ...topol.Endpoint) {
		s.Feeds.UpdateEndpoints(es, clock.Now())
		s.expireAvailability(time.Now())
	}
	leaver := topol.Endpoint{Name: "e", Service: "plain", Address: "127.0.0.1:1", Born: 5}
	accepts := func() bool { return s.availability.accepts(&leaver, s.Node, time.Now()) }
	listed(leaver)
	test.True(t, accepts())
	leaving := leaver
	leaving.Leaving = true
	listed(leaving)
	test.False(t, accepts())
	listed()
	listed(leaver)
	test.False(t, accepts())
	leaver.Born++
	listed(leaver)
	test.True(t, accepts(), test.Sprint("its next start"))
}
