package gate

import (
	"testing"

	"github.com/shoenig/test"
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
