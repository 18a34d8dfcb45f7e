package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

// Guards against a node that refuses the callers of its first moments, although its
// configuration arrives sooner than they could come back.
func TestRequestsWaitForTheFirstState(t *testing.T) {
	cases := []struct {
		name string
		// arrival is when the state arrives after the start, asked when the request does.
		arrival, asked time.Duration
		wait           time.Duration
		known          bool
	}{
		{"state arrives soon", 170 * time.Millisecond, 50 * time.Millisecond, 120 * time.Millisecond, true},
		{"state is there", 0, 50 * time.Millisecond, 0, true},
		{"state does not arrive", time.Hour, 50 * time.Millisecond, startWait - 50*time.Millisecond, false},
		{"node has been without state for long", time.Hour, 2 * startWait, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &feeds.Feeds{}
				s := &Server{Feeds: f, startedAt: time.Now()}
				timer := time.AfterFunc(c.arrival, func() {
					f.UpdateCatalog(testCatalog())
					f.ConfirmCatalog(clock.Now())
					f.UpdateEndpoints(nil, clock.Now())
					f.MergeEvacuations(feeds.Evacuations{ConfirmedAt: clock.Now()}, feeds.Position{})
				})
				defer timer.Stop()
				time.Sleep(c.asked)
				began := time.Now()
				s.awaitState()
				test.Eq(t, c.wait, time.Since(began).Truncate(2*statePollInterval))
				test.Eq(t, c.known, s.hasState())
			})
		})
	}
}
