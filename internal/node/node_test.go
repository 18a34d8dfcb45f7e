package node_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestRejectedRequests(t *testing.T) {
	f := startFleet(t)
	good := promptBody(f, "hi", 1)
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/chat/completions", good, []string{"Authorization", ""}, 401, "unauthorized"},
		{"wrong key", "POST", "/v1/chat/completions", good, []string{"Authorization", "Bearer x"}, 401, "unauthorized"},
		{"unknown path", "GET", "/nowhere", "", nil, 404, "unknown-route"},
		{"unknown call", "POST", "/v1/images", "{}", nil, 404, "unknown-route"},
		{"unknown host", "GET", "/bookings/1", "", []string{"Host", "other.example"}, 404, "unknown-route"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"user","content":"hi"}]}`, nil, 404, "unknown-model"},
		{"malformed body", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "bad-body"},
		{"bad time limit", "POST", "/v1/chat/completions", good, []string{"X-Time-Limit", "soon"}, 400, "bad-header"},
		{"body above the limit", "POST", "/v1/chat/completions", strings.Repeat("x", 17<<20), nil, 413, "body-too-large"},
		{"more tokens than the fleet holds", "POST", "/v1/chat/completions", promptBody(f, strings.Repeat("x", 9<<20), 1), nil, 413, "prompt-too-large"},
		{"time limit that can't be met", "POST", "/v1/chat/completions", promptBody(f, "hi", 10_000), []string{"X-Time-Limit", "100"}, 503, "too-late"},
		{"booking without key", "POST", "/bookings", "{}", []string{"Host", f.Plan.Host}, 400, "key-missing"},
		{"booking with a key that is too long", "POST", "/bookings", "{}", []string{"Host", f.Plan.Host, "Idempotency-Key", strings.Repeat("k", 300)}, 400, "bad-header"},
		{"header above the limit", "GET", "/bookings/1", "", []string{"X-Big", strings.Repeat("x", 32<<10)}, 431, "header-too-large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := call(f, 0, c.method, c.path, c.body, c.header...)
			must.NoError(t, r.err)
			e := r.errorBody(t)
			test.Eq(t, c.status, r.status)
			test.Eq(t, c.code, e.Code)
			test.Eq(t, ident.NotRun, e.Outcome)
			test.Eq(t, ident.NotRun, r.outcome())
			test.Eq(t, r.header.Get("X-Request-Id"), string(e.RequestID))
			test.NotEq(t, "", e.RequestID)
		})
	}
	for _, e := range f.Engines {
		test.Len(t, 0, e.Arrivals())
	}
	test.MapEmpty(t, f.Runs.Counts())
}

func TestRequestsWithoutBodyUseNoBodyMemory(t *testing.T) {
	f := startFleet(t)
	v, err := f.Patch(json.RawMessage(`{"Limits":{"BodyBytes":4096,"MemoryBytes":4096}}`), 1)
	must.NoError(t, err)
	must.Eq(t, admin.Accepted, v.Result)
	must.NoError(t, f.AwaitVersion(v.Version))
	for _, s := range f.Services {
		s.Inject(plain.Faults{WorkMillis: 100})
	}
	var wg sync.WaitGroup
	responses := make([]response, 30)
	for i := range responses {
		wg.Go(func() { responses[i] = call(f, 0, "GET", "/bookings/1", "", "Host", f.Plan.Host) })
	}
	wg.Wait()
	for _, r := range responses {
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}

func TestTimelineAndUsageOfARequest(t *testing.T) {
	f := startFleet(t)
	r := complete(f, 0, "hi", 2)
	es, err := f.Client(0).Timeline(ident.RequestID(r.header.Get("X-Request-Id")), 100)
	must.NoError(t, err)
	var kinds []string
	for _, e := range es {
		kinds = append(kinds, string(e.Kind))
	}
	test.Eq(t, []string{"arrived", "admitted", "chosen", "first-token", "ended"}, kinds)
	rows, err := f.Client(0).Usage()
	must.NoError(t, err)
	must.Len(t, 1, rows)
	test.Eq(t, 2, rows[0].GeneratedTokens)
	_, err = (&admin.Client{Address: f.AdminAddrs()[0], Token: "wrong", Timeout: testTimeout}).Usage()
	test.ErrorIs(t, err, admin.ErrDenied)
}
