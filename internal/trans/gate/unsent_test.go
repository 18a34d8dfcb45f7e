package gate

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

// heldReserver reserves nothing until goOn is closed.
type heldReserver struct {
	*fakeReserver
	calls atomic.Int64
	goOn  chan struct{}
}

func (f *heldReserver) Reserve(ctx context.Context, e *topol.Endpoint, r relay.Reservation) error {
	f.calls.Add(1)
	<-f.goOn
	return f.fakeReserver.Reserve(ctx, e, r)
}

// Guards against engines whose memory is exceeded, since a node sent them all prompts that it placed
// while it connected to them: such prompts are in flight only once they are written. Two of the
// prompts don't fit in one engine.
func TestPromptsThatAreNotSentYetCountTowardMemory(t *testing.T) {
	const engines = 4
	var es []*scriptedEndpoint
	for i := range engines {
		es = append(es, newEndpoint(t, fmt.Sprint("e", i), streams(1, 2, true)))
	}
	var dialing atomic.Int64
	goOn := make(chan struct{})
	r := newConfiguredRig(t, 0, func(s *Server) {
		s.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
			dialing.Add(1)
			<-goOn
			return links.Dial(context.WithoutCancel(ctx), address)
		}
	}, es...)
	results := make(chan response, engines)
	for i := range engines {
		go func() { results <- r.do(request("POST", "/stream/", fmt.Sprint("r", i), "x", "Prompt: 80000")) }()
		waitFor(t, func() bool { return dialing.Load() == int64(i+1) })
	}
	test.Eq(t, 503, r.do(request("POST", "/stream/", "more", "x", "Prompt: 80000")).status, test.Sprint("no engine has room"))
	close(goOn)
	for range engines {
		test.Eq(t, 200, (<-results).status)
	}
	for _, e := range es {
		test.SliceLen(t, 1, e.requests(), test.Sprint(e.name))
	}
	test.SliceEmpty(t, r.server.unsent.All())
}

// Guards against prompts that count as unsent for good since nothing was sent.
func TestFailedSendsLeaveNothingUnsent(t *testing.T) {
	e := newEndpoint(t, "e", refuses(503))
	r := newConfiguredRig(t, 0, func(s *Server) {
		s.DialEndpoint = func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	}, e, e.alias("f"), e.alias("g"), e.alias("h"), e.alias("i"), e.alias("j"))
	for _, size := range []string{"100", "150000"} {
		must.Eq(t, 503, r.do(request("POST", "/stream/", "r1", "x", "Prompt: "+size)).status)
		test.SliceEmpty(t, r.server.unsent.All(), test.Sprint(size))
	}
}

// Guards against prompts that are placed at the same helpers while memory is being reserved there.
func TestReservationsUnderWayCountTowardMemory(t *testing.T) {
	var es []*scriptedEndpoint
	e := newEndpoint(t, "e0", streams(1, 2, true))
	es = append(es, e)
	for i := range 7 {
		es = append(es, e.alias(fmt.Sprint("e", i+1)))
	}
	reserver := &heldReserver{fakeReserver: &fakeReserver{full: map[string]bool{}}, goOn: make(chan struct{})}
	r := newConfiguredRig(t, 0, func(s *Server) { s.Reserver = reserver }, es...)
	results := make(chan response, 1)
	go func() { results <- r.do(request("POST", "/stream/", "r1", "x", "Prompt: 150000")) }()
	waitFor(t, func() bool { return reserver.calls.Load() > 0 })
	unsent := r.server.unsent.All()
	must.SliceLen(t, 1, unsent)
	test.Positive(t, len(unsent[0].Held))
	close(reserver.goOn)
	test.Eq(t, 200, (<-results).status)
	test.SliceEmpty(t, r.server.unsent.All())
}

// Guards against nodes that don't hear of each other's requests and all send theirs to the same
// engine, whose memory they exceed many times over.
func TestLoadIsUnknownToNodesThatAreCutOff(t *testing.T) {
	cases := []struct {
		name         string
		alive, known int
		want         bool
	}{
		{"alone", 1, 1, false},
		{"hears all", 4, 4, false},
		{"hears half", 2, 4, false},
		{"hears less than half", 1, 4, true},
	}
	for _, c := range cases {
		s := &Server{Nodes: func(time.Time) quota.Nodes {
			return quota.Nodes{Self: "n1", Alive: make([]ident.NodeName, c.alive), Known: c.known}
		}}
		now := time.Now()
		test.Eq(t, c.want, s.isLoadUnknown(now), test.Sprint(c.name))
		c.alive = c.known
		test.False(t, s.isLoadUnknown(now.Add(2*nodesAge)), test.Sprint(c.name, ", hears of all again"))
	}
}
