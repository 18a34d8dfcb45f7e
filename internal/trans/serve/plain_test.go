package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// plainRig is a Core before endpoints of a plain service that all answer with the same body.
type plainRig struct {
	core  *Core
	table *table.Table
	route *table.Route
	// calls counts the requests that the endpoints got.
	calls atomic.Int64
}

func newPlainRig(t *testing.T, limits confg.Limits, body string) *plainRig {
	rig := &plainRig{route: &table.Route{Name: "bookings"}}
	d := &confg.Document{Limits: limits, Endpoints: map[ident.EndpointName]confg.Endpoint{}}
	for _, n := range []ident.EndpointName{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			rig.calls.Add(1)
			w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		d.Endpoints[n] = confg.Endpoint{Address: strings.TrimPrefix(s.URL, "http://")}
	}
	rig.setTable(d)
	rig.core = &Core{Pools: &conns.Pools{}, Ring: trace.NewRing("n1", &trace.Clock{}, 100), Ledger: ledgr.New(), Metrics: NewMetrics(prometheus.NewRegistry())}
	return rig
}

// setTable sets the endpoints of the rig.
func (p *plainRig) setTable(d *confg.Document) {
	p.table = table.New(1, d, nil)
	p.route.Targets = nil
	for _, e := range p.table.Endpoints {
		e.SetState(table.Up)
		p.route.Targets = append(p.route.Targets, e)
	}
}

// run sends a request of the given kind.
func (p *plainRig) run(idempotent bool) (*PlainResponse, error) {
	q := &fasthttp.Request{}
	q.SetRequestURI("http://portal.example/")
	r := &Request{Route: p.route, Table: p.table, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	t := &plainRequest{core: p.core, ctx: context.Background(), req: r, outgoing: q, idempotent: idempotent, excluded: ident.Set[ident.EndpointName]{}}
	return t.run()
}

// Guards against bookings whose retries take from the budget although their first attempts
// never add to it.
func TestBookingsAddToTheRetryBudget(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		rig := newPlainRig(t, confg.Limits{RetryPercent: 100, BodyBytes: 100}, "yes")
		for rig.core.Budget.TakeRetry() {
		}
		_, err := rig.run(idempotent)
		must.NoError(t, err)
		test.True(t, rig.core.Budget.TakeRetry(), test.Sprint("idempotent: ", idempotent))
	}
}

// Guards against an idempotent request that runs at one endpoint after the other because its
// answer is longer than the limit.
func TestRequestWithTooLongAnswerIsNotRetried(t *testing.T) {
	rig := newPlainRig(t, confg.Limits{RetryPercent: 100, BodyBytes: 100}, strings.Repeat("x", 101))
	_, err := rig.run(true)
	test.Eq(t, ident.Unknown, AsFailure(err).Outcome)
	test.Eq(t, 1, rig.calls.Load())
}
