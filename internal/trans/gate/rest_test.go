package gate

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/trans/tunnel"
)

// rests refuses a request and asks for none for some seconds.
func rests(seconds string) script {
	return raw("HTTP/1.1 503 Busy\r\nId: %ID\r\nNot-Run: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n\r\n", true)
}

// Guards against BUDGET: an endpoint that answered 503 with Retry-After got requests all
// the while.
func TestEndpointThatAsksForRestGetsNoRequests(t *testing.T) {
	resting := newEndpoint(t, "e", rests("30"))
	other := newEndpoint(t, "f", ok("yes"))
	r := newRig(t, resting, other)
	for range 30 {
		test.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
	}
	test.LessEq(t, 1, len(resting.requests()))
	test.False(t, r.server.endpointHealth.isSuspect("ep", time.Now()), test.Sprint("it has not failed"))
}

func TestEndpointGetsRequestsAfterItsRest(t *testing.T) {
	e := newEndpoint(t, "e", rests("1"), ok("yes"))
	r := newRig(t, e)
	test.Eq(t, 503, r.do(request("GET", "/safe/", "r1", "")).status)
	for r.do(request("GET", "/safe/", "r1", "")).status != 200 {
		time.Sleep(10 * time.Millisecond)
	}
	test.SliceLen(t, 2, e.requests())
}

// Guards against callers who wait, or come back at once, while all endpoints of a service
// rest.
func TestRequestsAreRejectedWhileAllEndpointsRest(t *testing.T) {
	es := []*scriptedEndpoint{newEndpoint(t, "e", rests("20")), newEndpoint(t, "f", rests("30"))}
	r := newRig(t, es...)
	r.do(request("GET", "/safe/", "r1", ""))
	res := r.do(request("GET", "/safe/", "r1", ""))
	test.Eq(t, 503, res.status)
	test.Between(t, 10, res.retryAfter(t), 20)
	for _, e := range es {
		test.SliceLen(t, 1, e.requests())
	}
}

// Guards against a node that sends over a peer what the endpoint doesn't want of the peer.
func TestPeerConnectsToNoEndpointThatRests(t *testing.T) {
	e := newEndpoint(t, "e", rests("20"))
	r := newConfiguredRig(t, 0, hasPeer("n1"), e)
	r.do(request("GET", "/safe/", "r1", ""))
	_, err := r.server.ConnectForPeer(context.Background(), tunnel.Request{From: "n1", Endpoint: "ep", Address: e.address})
	test.Error(t, err)
}
