package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestBookingSentToAllNodesAtOnceRunsOnce(t *testing.T) {
	f := startFleet(t)
	const rounds = 20
	var wg sync.WaitGroup
	responses := make([]response, rounds*len(f.Nodes))
	for i := range responses {
		wg.Go(func() { responses[i] = book(f, i%len(f.Nodes), fmt.Sprintf("k%d", i/len(f.Nodes))) })
	}
	wg.Wait()
	for i, r := range responses {
		must.NoError(t, r.err)
		test.Eq(t, http.StatusCreated, r.status)
		test.StrContains(t, string(r.body), fmt.Sprintf(`"Key":"k%d","Run":1`, i/len(f.Nodes)))
	}
	counts := f.Runs.Counts()
	test.MapLen(t, rounds, counts)
	for k, n := range counts {
		test.Eq(t, 1, n, test.Sprint(k))
	}
}

// The response to a booking is repeated by every node to the same request, while
// another request with the same key is rejected.
func TestRepeatedBookingIsReplayed(t *testing.T) {
	f := startFleet(t)
	for node := range f.Nodes {
		r := book(f, node, "same")
		must.Eq(t, http.StatusCreated, r.status, must.Sprint(string(r.body)))
		test.Eq(t, node > 0, r.header.Get("Idempotent-Replay") == "true")
	}
	r := call(f, 0, "POST", "/bookings", `{"Segment":2}`, "Host", f.Plan.Host, "Idempotency-Key", "same")
	test.Eq(t, "key-reused", r.errorBody(t).Code)
	test.Eq(t, 1, f.Runs.Counts()["same"])
}

func TestBookingWhoseAnswerIsLostStaysUnknown(t *testing.T) {
	f := startFleet(t)
	for _, s := range f.Services {
		s.Inject(plain.Faults{LoseAnswers: 1})
	}
	for node := range f.Nodes {
		r := book(f, node, "lost")
		must.NoError(t, r.err)
		test.Eq(t, ident.Unknown, r.outcome())
	}
	test.Eq(t, 1, f.Runs.Counts()["lost"])
}

func TestRefusedBookingMayBeRepeated(t *testing.T) {
	f := startFleet(t)
	for _, s := range f.Services {
		s.Inject(plain.Faults{RefuseMillis: int(testTimeout.Milliseconds())})
	}
	r := book(f, 0, "again")
	must.NoError(t, r.err)
	test.Eq(t, ident.NotRun, r.outcome())
	test.NotEq(t, "", r.header.Get("Retry-After"))
	test.MapEmpty(t, f.Runs.Counts())
	for _, s := range f.Services {
		s.Inject(plain.Faults{RefuseMillis: 1})
	}
	waitFor(t, "booking runs", func() bool { return book(f, 1, "again").status == http.StatusCreated })
	test.Eq(t, 1, f.Runs.Counts()["again"])
}
