package gate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against callers who come back before any endpoint can take them, since the endpoints of
// an evacuated data centre want requests and the others want none for a time.
func TestRestOfTheOthersCountsDuringAnEvacuation(t *testing.T) {
	resting, idle := newEndpoint(t, "a0", rests("20")), newEndpoint(t, "b0", ok("yes"))
	r := newRig(t)
	r.list(listed{resting, "a", 1, ""}, listed{idle, "b", 1, ""})
	r.server.evacuate("b")
	r.do(request("GET", "/safe/", "r1", ""))
	res := r.do(request("GET", "/safe/", "r1", ""))
	must.Eq(t, 503, res.status)
	test.Between(t, 10, res.retryAfter(t), 20)
	test.SliceLen(t, 1, resting.requests())
	test.SliceEmpty(t, idle.requests())
}

// evacuatesBefore evacuates some data centres before it answers as another script does.
func evacuatesBefore(r **rig, s script, names ...ident.DataCentre) script {
	return func(c net.Conn, g receivedRequest) bool {
		(*r).server.evacuate(names...)
		return s(c, g)
	}
}

// Guards against a retry, a resumed or a hedged send to a data centre that was evacuated after the
// request had arrived. The first send goes to the node's own data centre.
func TestNoFurtherSendReachesAnEvacuatedDataCentre(t *testing.T) {
	cases := []struct {
		name, target string
		first, other script
		want         string
	}{
		{"refusal", "/once/", refuses(503), ok("other"), "other"},
		{"failure", "/safe/", dropsConnection, ok("other"), "other"},
		{"broken stream", "/stream/", streams(1, 1, false), streams(2, 3, true), event(1) + event(2) + event(3)},
		{"silence", "/stream/", neverResponds, streams(1, 2, true), event(1) + event(2)},
	}
	for _, c := range cases {
		for _, isLeft := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				var r *rig
				evacuated, ls := endpointsOf(t, "b", 3, ok("evacuated"))
				first := newEndpoint(t, "a0", evacuatesBefore(&r, c.first, "b"))
				other := newEndpoint(t, "c0", c.other)
				ls = append(ls, listed{first, "a", 1, ""})
				if isLeft {
					ls = append(ls, listed{other, "c", 1, ""})
				}
				for i := range ls {
					if c.target == "/stream/" {
						ls[i].service = "model"
					}
				}
				r = newConfiguredRig(t, 0, largeBudget)
				r.list(ls...)
				res := r.do(request("POST", c.target, "r1", "x", "Left: 1500"))
				test.SliceLen(t, 1, first.requests())
				test.Eq(t, 0, received(evacuated))
				if isLeft {
					test.Eq(t, c.want, res.body)
				}
			})
		}
	}
}

// Guards against a first send that reaches a data centre which was evacuated while the node
// connected to it, or over a connection that is still open from before.
func TestEvacuationBetweenTheChoiceAndTheSend(t *testing.T) {
	var r *rig
	chosen, other := newEndpoint(t, "a0", ok("yes")), newEndpoint(t, "c0", ok("other"))
	evacuates := false
	r = newConfiguredRig(t, 0, func(s *Server) {
		s.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
			if evacuates && address == chosen.address {
				r.server.evacuate("a")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	})
	r.list(listed{chosen, "a", 1, ""}, listed{other, "c", 1, ""})
	test.Eq(t, "yes", r.do(request("GET", "/safe/", "r1", "")).body)
	r.server.evacuate("a")
	test.Eq(t, "other", r.do(request("GET", "/safe/", "r2", "")).body)
	r.server.evacuate()
	test.Eq(t, "yes", r.do(request("GET", "/safe/", "r3", "")).body)
	evacuates = true
	test.Eq(t, "other", r.do(request("POST", "/once/", "r4", "x")).body)
	test.SliceLen(t, 2, chosen.requests())
	r.server.evacuate("a", "c")
	res := r.do(request("GET", "/safe/", "r5", ""))
	test.Eq(t, 503, res.status)
	test.Eq(t, "2.00", res.header.Get("Retry-After"))
	test.False(t, r.server.endpointHealth.isSuspect("a0", time.Now()), test.Sprint("an evacuation is no fault"))
}

// Guards against memory that is reserved in an evacuated data centre, and against a prompt whose
// helper is in one since it was chosen before.
func TestEvacuationBetweenTheChoiceAndTheReservations(t *testing.T) {
	var r *rig
	_, ls := endpointsOf(t, "a", 8, streams(1, 2, true))
	evacuated, more := endpointsOf(t, "b", 8, streams(1, 2, true))
	ls = append(ls, more...)
	for i := range ls {
		ls[i].service = "model"
	}
	r = newConfiguredRig(t, 0, largeBudget)
	r.list(ls...)
	reserver := &evacuatingReserver{fakeReserver: r.reserver, evacuate: func(ident.DataCentre) { r.server.evacuate("b") }}
	r.server.Reserver = reserver
	for range 5 {
		test.Eq(t, 200, r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100000")).status)
	}
	test.Eq(t, 0, received(evacuated))
	waitForEnd(r)
}

// Guards against a tunnel to an evacuated data centre for a peer that doesn't know yet, and against
// probes that find its endpoints unreachable.
func TestTunnelToAnEvacuatedDataCentre(t *testing.T) {
	e := newEndpoint(t, "a0", ok("yes"))
	r := newConfiguredRig(t, 0, hasPeer("n2"))
	r.list(listed{e, "a", 1, ""})
	r.server.evacuate("a")
	_, err := r.server.ConnectForPeer(t.Context(), tunnel.Request{From: "n2", Endpoint: "a0", Address: e.address})
	test.ErrorIs(t, err, tunnel.ErrEvacuated)
	c, err := r.server.ConnectForPeer(t.Context(), tunnel.Request{From: "n2", Endpoint: "a0", Address: e.address, NoRequest: true})
	must.NoError(t, err)
	c.Close()
	_, err = r.server.DialListed(t.Context(), e.address)
	test.ErrorIs(t, err, errEvacuated)
}

// Guards against a request with home regions that leaves them since all endpoints there are
// evacuated, and against a caller who isn't told when to come back.
func TestRequestWhoseHomesAreEvacuatedIsRejected(t *testing.T) {
	home, other := newEndpoint(t, "us", ok("yes")), newEndpoint(t, "eu", ok("no"))
	r := newHomeRig(t, homed{route: "us\n", of: map[string]ident.DataCentre{"us": "b"}}, unchanged, home, other)
	test.Eq(t, "yes", r.do(request("GET", "/safe/", "r1", "")).body)
	r.server.evacuate("b")
	res := r.do(request("GET", "/safe/", "r2", ""))
	test.Eq(t, 503, res.status)
	test.Eq(t, "2.00", res.header.Get("Retry-After"))
	test.SliceLen(t, 1, home.requests())
	test.SliceEmpty(t, other.requests())
}

// Guards against a node that counts as isolated for as long as an evacuation lasts: the links that
// it had lost before are those to endpoints that it no longer probes.
func TestNodeIsNotIsolatedByLinksToEvacuatedEndpoints(t *testing.T) {
	c := newCutRig(t)
	_, ls := endpointsOf(t, "a", 3, ok("yes"))
	other := newEndpoint(t, "b0", ok("other"))
	c.list(append(ls, listed{other, "b", 1, ""})...)
	for _, l := range ls {
		c.server.loseLink(c.server.Feeds.Endpoints().ByName[ident.EndpointName(l.endpoint.name)])
	}
	must.True(t, c.server.Isolated())
	c.server.evacuate("a")
	waitFor(t, func() bool { return !c.server.Isolated() })
	test.Eq(t, "other", c.do(request("GET", "/safe/", "r1", "")).body)
	test.Eq(t, 0, len(c.tunnels))
	for _, l := range ls {
		l.endpoint.mu.Lock()
		test.Zero(t, l.endpoint.probes)
		l.endpoint.mu.Unlock()
	}
}
