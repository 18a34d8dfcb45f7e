package gate

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

// spread lists each scripted endpoint of a rig in the data centre of its name.
func (r *rig) spread(es ...*scriptedEndpoint) {
	var list []topol.Endpoint
	for _, e := range es {
		for _, s := range []ident.ServiceName{"plain", "model"} {
			list = append(list, topol.Endpoint{Name: ident.EndpointName(e.name + string(s[:1])), Service: s, Address: e.address, Slots: 8, DataCentre: ident.DataCentre(e.name)})
		}
	}
	r.server.Feeds.UpdateEndpoints(list, clock.Now())
}

// evacuate makes exactly the given data centres evacuated.
func (s *Server) evacuate(names ...ident.DataCentre) {
	s.Feeds.MergeEvacuations(feeds.Evacuations{InForce: names, ConfirmedAt: clock.Now()}, feeds.Position{})
}

// Guards against requests to an endpoint of an evacuated data centre, in all ways in which one is
// chosen.
func TestEvacuatedEndpointsGetNoRequests(t *testing.T) {
	cases := []struct {
		name string
		// a answers at once or not at all, b is the endpoint outside of the evacuation.
		a, b    script
		request string
		status  int
	}{
		{"first send", ok("a"), ok("b"), request("GET", "/safe/", "r1", ""), 200},
		{"booking", ok("a"), ok("b"), request("POST", "/once/", "r1", "x"), 200},
		{"prompt", streams(1, 3, true), streams(1, 3, true), request("POST", "/stream/", "r1", "x", "Prompt: 100"), 200},
		{"retry of a refused request", ok("a"), refuses(503), request("GET", "/safe/", "r1", ""), 503},
		{"retry of a failed request", ok("a"), fails(500), request("GET", "/safe/", "r1", ""), 500},
		{"retry after a broken connection", ok("a"), dropsConnection, request("GET", "/safe/", "r1", ""), 502},
		{"second send beside a silent one", ok("a"), neverResponds, request("GET", "/short/", "r1", ""), 504},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b := newEndpoint(t, "a", c.a), newEndpoint(t, "b", c.b)
			r := newRig(t, a, b)
			r.spread(a, b)
			r.server.evacuate("a")
			for range 4 {
				test.Eq(t, c.status, r.do(c.request).status)
			}
			test.SliceEmpty(t, a.requests())
			test.SliceNotEmpty(t, b.requests())
			r.server.evacuate()
			waitFor(t, func() bool {
				r.do(c.request)
				return len(a.requests()) > 0
			})
		})
	}
}

// Guards against a stream that is resumed in a data centre that was evacuated while it ran.
// The stream itself is not cut.
func TestRunningStreamIsNeitherCutNorResumedInAnEvacuatedDataCentre(t *testing.T) {
	for _, resumes := range []bool{false, true} {
		goOn := make(chan struct{})
		first := func(c net.Conn, g receivedRequest) bool {
			io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", g.field("Id"))+chunked(event(1)))
			<-goOn
			if !resumes {
				io.WriteString(c, chunked(event(2))+lastChunk)
			}
			return false
		}
		a, b := newEndpoint(t, "a", first), newEndpoint(t, "b", first)
		r := newRig(t, a, b)
		r.spread(a, b)
		c := r.dial()
		io.WriteString(c, request("POST", "/stream/", "r1", "x", "Prompt: 100"))
		waitFor(t, func() bool { return len(a.requests())+len(b.requests()) > 0 })
		// Both are evacuated: the one that runs the stream, and the one that could resume it.
		r.server.evacuate("a", "b")
		close(goOn)
		res, err := readResponse(c)
		must.NoError(t, err)
		test.Eq(t, resumes, res.err != nil)
		test.Eq(t, 1, len(a.requests())+len(b.requests()))
	}
}

// Guards against requests that wait, or are sent, although no endpoint is left for them.
func TestRequestsAreRejectedWhileAllEndpointsAreEvacuated(t *testing.T) {
	e := newEndpoint(t, "a", ok("yes"))
	lines := &logBuffer{}
	r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(lines) }, e)
	r.server.evacuate("a")
	for _, text := range []string{request("GET", "/safe/", "r1", ""), request("POST", "/stream/", "r2", "x", "Prompt: 150000")} {
		res := r.do(text)
		test.Eq(t, 503, res.status)
		test.Between(t, 0.5, res.retryAfter(t), 5)
	}
	test.SliceEmpty(t, e.requests())
	for range 3 {
		r.server.logEvacuations()
	}
	r.server.evacuate()
	test.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
	for range 3 {
		r.server.logEvacuations()
	}
	// The model and the plain service.
	test.Eq(t, 2, strings.Count(lines.String(), "its requests are rejected"))
	test.Eq(t, 2, strings.Count(lines.String(), "not all endpoints of a service are evacuated any more"))
}

// Guards against requests of a node that has just started and doesn't know the evacuations yet.
func TestNodeWithoutKnowledgeOfEvacuationsSendsNothing(t *testing.T) {
	e := newEndpoint(t, "a", ok("yes"))
	r := newConfiguredRig(t, 0, func(s *Server) {
		f := &feeds.Feeds{Logger: zerolog.Nop()}
		f.UpdateCatalog(testCatalog())
		f.ConfirmCatalog(clock.Now())
		f.UpdateEndpoints([]topol.Endpoint{{Name: "ap", Service: "plain", Address: e.address, Slots: 8, DataCentre: "a"}}, clock.Now())
		s.Feeds = f
		hasPeer("n2")(s)
	}, e)
	test.Eq(t, 503, r.do(request("GET", "/safe/", "r1", "")).status)
	_, err := r.server.ConnectForPeer(context.Background(), tunnel.Request{From: "n2", Endpoint: "ap", Address: e.address})
	test.ErrorIs(t, err, tunnel.ErrEvacuated)
	test.SliceEmpty(t, e.requests())
	r.server.evacuate()
	test.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
}

// Guards against a request that is sent to an evacuated data centre, since its endpoint was
// chosen before and the connection took long. The endpoint has not failed.
func TestAttemptThatWaitsForItsConnectionIsWithdrawn(t *testing.T) {
	for _, text := range []string{request("POST", "/once/", "r1", "x"), request("GET", "/safe/", "r1", "")} {
		a, b := newEndpoint(t, "a", ok("a")), newEndpoint(t, "b", ok("b"))
		var announced atomic.Int32
		var evacuate sync.Once
		r := newConfiguredRig(t, 0, func(s *Server) {
			s.AnnounceFailure = func(ident.EndpointName) { announced.Add(1) }
			s.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				evacuate.Do(func() {
					// The data centre of the chosen endpoint.
					s.evacuate(map[string]ident.DataCentre{a.address: "a", b.address: "b"}[address])
				})
				return links.Dial(ctx, address)
			}
		}, a, b)
		r.spread(a, b)
		test.Eq(t, 200, r.do(text).status)
		evacuated := map[bool]*scriptedEndpoint{true: a, false: b}[r.server.Feeds.Evacuated().Has("a")]
		test.SliceEmpty(t, evacuated.requests())
		test.False(t, r.server.endpointHealth.isSuspect(ident.EndpointName(evacuated.name+"p"), time.Now()))
		test.Zero(t, announced.Load())
	}
}

// evacuatingReserver calls evacuate with the data centre of an engine before memory is reserved
// there.
type evacuatingReserver struct {
	*fakeReserver
	evacuate func(ident.DataCentre)
}

func (f *evacuatingReserver) Reserve(ctx context.Context, e *topol.Endpoint, r relay.Reservation) error {
	f.evacuate(e.DataCentre)
	return f.fakeReserver.Reserve(ctx, e, r)
}

// Guards against helpers in an evacuated data centre, also if it was evacuated between the choice
// and the send, and against memory that stays reserved there.
func TestPromptWithEvacuatedHelpersIsPlacedAgain(t *testing.T) {
	var es []*scriptedEndpoint
	for _, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		es = append(es, newEndpoint(t, n, streams(1, 2, true)))
	}
	reserver := &evacuatingReserver{fakeReserver: &fakeReserver{full: map[string]bool{}}}
	r := newConfiguredRig(t, 0, func(s *Server) {
		var once sync.Once
		reserver.evacuate = func(n ident.DataCentre) { once.Do(func() { s.evacuate(n) }) }
		s.Reserver = reserver
	}, es...)
	r.spread(es...)
	test.Eq(t, 200, r.do(request("POST", "/stream/", "r1", "x", "Prompt: 150000")).status)
	evacuated := r.server.Feeds.Evacuated().Sorted()
	must.SliceLen(t, 1, evacuated)
	sends := 0
	for _, e := range es {
		for _, g := range e.requests() {
			sends++
			test.NotEq(t, string(evacuated[0]), e.name)
			helper := es[strings.Index("abcdefgh", string(evacuated[0]))].address
			g.head.EndToEnd(func(f http1.Field) { test.False(t, strings.HasPrefix(string(f.Value), helper)) })
		}
	}
	test.Eq(t, 1, sends)
	waitFor(t, func() bool {
		reserver.mu.Lock()
		defer reserver.mu.Unlock()
		return len(reserver.released) == len(reserver.reserved)
	})
}

// Guards against a request that reaches an evacuated endpoint over a peer that knows of the
// evacuation, from a node that doesn't yet, and against renewals that a node without links can't
// send any more.
func TestPeerConnectsToNoEvacuatedEndpoint(t *testing.T) {
	e := newEndpoint(t, "a", ok("yes"))
	c := newCutRig(t, e)
	c.lost.Store(true)
	test.Eq(t, 200, c.do(request("GET", "/safe/", "r1", "")).status)
	c.peer.server.evacuate("a")
	test.Eq(t, 503, c.do(request("GET", "/safe/", "r2", "")).status)
	test.SliceLen(t, 1, e.requests())
	test.Zero(t, c.announced.Load(), test.Sprint("the endpoint has not failed"))
	test.False(t, c.server.endpointHealth.isSuspect("ap", time.Now()))

	c.server.evacuate("a")
	_, err := c.server.DialListed(context.Background(), e.address)
	test.ErrorIs(t, err, errEvacuated, test.Sprint("a new reservation"))
	conn, err := c.server.DialListed(withoutRequest(context.Background()), e.address)
	must.NoError(t, err, must.Sprint("a renewal"))
	conn.Close()
}

func TestEvacuationWithoutEndpointsIsLoggedOnce(t *testing.T) {
	e := newEndpoint(t, "a", ok("yes"))
	lines := &logBuffer{}
	r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(lines) }, e)
	r.server.evacuate("nowhere")
	for range 3 {
		r.server.logEvacuations()
	}
	test.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
	test.Eq(t, 1, strings.Count(lines.String(), "has no endpoints"))
}

// Guards against an operator who can't tell when a data centre is empty.
func TestRequestsInAnEvacuatedDataCentreAreCounted(t *testing.T) {
	goOn := make(chan struct{})
	e := newEndpoint(t, "a", func(c net.Conn, g receivedRequest) bool {
		<-goOn
		return ok("yes")(c, g)
	})
	lines := &logBuffer{}
	r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(lines) }, e)
	registry := prometheus.NewRegistry()
	r.server.Register(registry)
	c := r.dial()
	io.WriteString(c, request("GET", "/safe/", "r1", ""))
	waitFor(t, func() bool { return len(e.requests()) > 0 })
	test.SliceEmpty(t, running(t, registry))
	r.server.evacuate("a")
	r.server.logEvacuations()
	test.Eq(t, []float64{1}, running(t, registry))
	close(goOn)
	res, err := readResponse(c)
	must.NoError(t, err)
	test.Eq(t, 200, res.status)
	waitFor(t, func() bool { return running(t, registry)[0] == 0 })
	for range 3 {
		r.server.logEvacuations()
	}
	test.Eq(t, 1, strings.Count(lines.String(), "no requests of this node run in an evacuated data centre any more"))
}

// running returns the values of laburnum_evacuated_in_flight.
func running(t *testing.T, r *prometheus.Registry) (values []float64) {
	fs, err := r.Gather()
	must.NoError(t, err)
	for _, f := range fs {
		if f.GetName() == "laburnum_evacuated_in_flight" {
			for _, m := range f.GetMetric() {
				values = append(values, m.GetGauge().GetValue())
			}
		}
	}
	return values
}
