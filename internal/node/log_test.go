package node_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against a counter of appends that stays at zero.
func TestAppendsToTheLogAreCounted(t *testing.T) {
	f := startFleet(t)
	must.Eq(t, http.StatusCreated, book(f, 0, "counted").status)
	res, err := http.Get("http://" + f.AdminAddrs()[0] + "/metrics")
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	// The claim of the booking is one append at least.
	test.RegexMatch(t, regexp.MustCompile(`(?m)^laburnum_log_appends_total [1-9]`), string(body))
}

func TestLogOutage(t *testing.T) {
	f := startFleet(t)
	f.Log.Inject(logsrv.Faults{OutageMillis: 5000})
	r := book(f, 0, "down")
	must.NoError(t, r.err)
	test.Eq(t, ident.NotRun, r.outcome())
	test.MapEmpty(t, f.Runs.Counts())
	wantText(t, complete(f, 1, "hi", 4), "hi", 4)
	waitFor(t, "booking runs", func() bool { return book(f, 2, "down").status == http.StatusCreated })
	test.Eq(t, 1, f.Runs.Counts()["down"])
}

func TestLogThatLosesAnswersOrIsSilent(t *testing.T) {
	f := startFleet(t)
	f.Log.Inject(logsrv.Faults{LoseAnswers: 3})
	for i := range 6 {
		waitFor(t, "booking runs", func() bool { return book(f, i%3, fmt.Sprint(i)).status == http.StatusCreated })
	}
	f.Log.Inject(logsrv.Faults{Silence: true})
	waitFor(t, "booking runs", func() bool { return book(f, 0, "silent").status == http.StatusCreated })
	for k, n := range f.Runs.Counts() {
		test.Eq(t, 1, n, test.Sprint(k))
	}
}
