package gate

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

// testDialect uses short names for the fields that a node reads and sets.
type testDialect struct{}

func (testDialect) ParseRequest(h *http1.Head) (relay.RequestHeader, error) {
	get := func(n string) string { v, _ := h.Get(n); return string(v) }
	r := relay.RequestHeader{ID: get("Id"), Key: get("Key"), LastEvent: get("Last-Event-Id")}
	ms, _ := strconv.Atoi(get("Left"))
	r.TimeLeft = time.Duration(ms) * time.Millisecond
	n, _ := strconv.Atoi(get("Prompt"))
	r.Prompt = ident.Tokens(n)
	for _, p := range strings.Fields(get("Parts")) {
		n, _ := strconv.Atoi(p)
		r.SharedParts = append(r.SharedParts, ident.PartID(n))
	}
	return r, nil
}

func (testDialect) ForwardsField(f http1.Field, resumed bool) bool {
	return !f.Is("Key") && !f.Is("Left") && !f.Is("Owner") && (!resumed || !f.Is("Last-Event-Id"))
}

func (testDialect) AppendFields(b []byte, h relay.ForwardHeader) []byte {
	b = http1.AppendField(b, "Left", strconv.FormatInt(h.TimeLeft.Milliseconds(), 10))
	b = http1.AppendField(b, "To", string(h.Endpoint))
	b = http1.AppendField(b, "Owner", string(h.Workspace))
	if h.HasUrgency {
		b = http1.AppendField(b, "Urgency", strconv.Itoa(h.Urgency))
	}
	if h.LastEvent != "" {
		b = http1.AppendField(b, "Last-Event-Id", h.LastEvent)
	}
	for _, helper := range h.Helpers {
		b = http1.AppendField(b, "Helper", helper.Address+"/"+helper.ReservationID)
	}
	return b
}

func (testDialect) Probe(*topol.Endpoint) []byte {
	return []byte("GET " + probePath + " HTTP/1.1\r\nHost: h.example\r\n\r\n")
}

// probePath is the path of probes, which scripted endpoints answer without a script.
const probePath = "/probe"

func (testDialect) ParseResponse(h *http1.Head, status int) relay.ResponseHeader {
	id, _ := h.Get("Id")
	_, signed := h.Get("Signed")
	_, notRun := h.Get("Not-Run")
	fault, _ := h.Get("Fault")
	_, leaving := h.Get("Leaving")
	rest, _ := h.Get("Retry-After")
	seconds, _ := strconv.Atoi(string(rest))
	limit, _ := h.Get("Limit")
	rate, err := strconv.ParseFloat(string(limit), 64)
	cold, states := h.Get("Cold")
	ms, _ := strconv.Atoi(string(cold))
	return relay.ResponseHeader{
		ID: string(id), Signed: signed > 0, NotRun: notRun > 0 || status == 421, FaultAddress: string(fault), Limit: rate, HasLimit: err == nil,
		Leaving: leaving > 0, Rest: time.Duration(seconds) * time.Second, Cold: time.Duration(ms) * time.Millisecond, StatesCold: states > 0,
	}
}

// fakeReserver records the reservations, and refuses those at full engines. The endpoints in
// replaced are others than their records name.
type fakeReserver struct {
	mu       sync.Mutex
	full     map[string]bool
	replaced ident.Set[ident.EndpointName]
	reserved []relay.Reservation
	released []string
}

func (f *fakeReserver) Reserve(_ context.Context, e *topol.Endpoint, r relay.Reservation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replaced.Has(e.Name) {
		return ErrMisdirected
	}
	if f.full[string(e.Name)] {
		return ErrNoMemory
	}
	f.reserved = append(f.reserved, r)
	return nil
}

func (f *fakeReserver) Release(_ context.Context, _ *topol.Endpoint, reservationID string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, reservationID)
	return nil
}

// rig is a Server that forwards to scripted endpoints.
type rig struct {
	t        testing.TB
	server   *Server
	reserver *fakeReserver
	addr     string
	cancel   context.CancelFunc
}

// testCatalog has a route for each kind of request, whose path prefix is the
// name of the route.
func testCatalog() *topol.Catalog {
	c := &topol.Catalog{
		Version: 3,
		Limits:  topol.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
		Services: map[ident.ServiceName]*topol.Service{
			"plain": {Name: "plain"},
			"model": {Name: "model", Engine: &topol.Engine{
				Slots: 16, Memory: 100_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
				StepTime: 850 * time.Microsecond, PerMillionPairs: 184 * time.Microsecond,
			}},
		},
		Keys: map[string]*topol.Workspace{"secret": {Name: "ana"}},
	}
	route := func(name string, k topol.Kind, service ident.ServiceName, timeout time.Duration) {
		c.Add(&topol.Route{
			Name: ident.RouteName(name), Host: "h.example", Prefix: "/" + name + "/", Kind: k, Timeout: timeout,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Attempts: 2, Resumable: k == topol.Stream,
			Services: []topol.WeightedService{{Service: service, Weight: 1}},
		})
	}
	route("once", topol.Once, "plain", 2*time.Second)
	route("safe", topol.Idempotent, "plain", 2*time.Second)
	route("short", topol.Idempotent, "plain", 300*time.Millisecond)
	route("stream", topol.Stream, "model", 5*time.Second)
	return c
}

func newRig(t testing.TB, es ...*scriptedEndpoint) *rig { return newRigWithConfigAge(t, 0, es...) }

func newRigWithConfigAge(t testing.TB, age time.Duration, es ...*scriptedEndpoint) *rig {
	return newConfiguredRig(t, age, func(*Server) {}, es...)
}

// newConfiguredRig returns a rig whose configuration was last confirmed the given age
// ago, and whose server configure has set up. Each scripted endpoint NAME is listed twice: as the plain
// endpoint NAMEp and as the engine NAMEm of a model.
func newConfiguredRig(t testing.TB, age time.Duration, configure func(*Server), es ...*scriptedEndpoint) *rig {
	var list []topol.Endpoint
	for _, e := range es {
		for _, s := range []ident.ServiceName{"plain", "model"} {
			list = append(list, topol.Endpoint{Name: ident.EndpointName(e.name + string(s[:1])), Service: s, Address: e.address, Slots: 8, DataCentre: "a"})
		}
	}
	f := &feeds.Feeds{Logger: zerolog.Nop()}
	f.UpdateCatalog(testCatalog())
	f.ConfirmCatalog(clock.Now().Add(-age))
	f.UpdateEndpoints(list, clock.Now())
	f.MergeEvacuations(feeds.Evacuations{ConfirmedAt: clock.Now()}, feeds.Position{})
	r := &rig{t: t, reserver: &fakeReserver{full: map[string]bool{}}}
	r.server = &Server{
		Dialect: testDialect{}, Reserver: r.reserver, Feeds: f, InFlight: &works.Table{}, Node: "n1", DataCentre: "a", Logger: zerolog.Nop(),
		StrictRevocation: true, MaxConfigAge: 30 * time.Second, Budget: Budget{Ratio: 0.2, Window: 10 * time.Second, Extra: 100}, GracePeriod: 8 * time.Second,
		AnnounceStart: func(works.Request) {}, AnnounceDecoding: func(works.ID) {}, AnnounceEnd: func(works.ID) {}, NodeCount: func() int { return 1 },
		AnnounceStrike: func(strik.Strike) {}, AnnounceProof: func(strik.Proof) {}, AnnounceTrial: func(strik.Trial) {}, AnnounceFailure: func(ident.EndpointName) {}, AnnounceBreak: func(ident.EndpointName) {}, AnnounceLimits: func(...quota.Limit) {},
		AnnounceAvailability: func(avail.State) {}, AnnounceRest: func(avail.Rest) {}, AnnounceDecision: func(bysize.Decision) {}, AnnounceStatus: func() {}, Peers: func(time.Time) []reach.Peer { return nil },
		FetchPermit: func(ident.NodeName, quota.Key) (relay.Permit, error) { return relay.Permit{}, errors.New("no peer") },
		Nodes: func(time.Time) quota.Nodes {
			return quota.Nodes{Self: "n1", Alive: []ident.NodeName{"n1"}, Known: 1}
		},
	}
	configure(r.server)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	l, err := Listen(ctx, "127.0.0.1:0")
	must.NoError(t, err)
	r.addr = l.Addr().String()
	done := make(chan struct{})
	go func() { r.server.Run(ctx, l); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// hasPeer returns a function that makes a server know one peer.
func hasPeer(name ident.NodeName) func(*Server) {
	return func(s *Server) {
		s.Peers = func(time.Time) []reach.Peer { return []reach.Peer{{Name: name}} }
	}
}

func (r *rig) dial() net.Conn {
	c, err := net.Dial("tcp", r.addr)
	must.NoError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	return c
}
