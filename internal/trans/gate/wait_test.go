package gate

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/clock"
)

// Guards against keys that are accepted, and routes and keys that are refused as unknown, while the
// store may lack records that it has lost; and against callers who have to wait although they need
// no key, or who are told to come back too soon.
func TestOnlyKeysAndUnknownRoutesWaitForLostRecords(t *testing.T) {
	cases := []struct {
		name, text string
		status     int
	}{
		{"key", request("GET", "/safe/", "r", ""), 503},
		{"unknown key", strings.Replace(request("GET", "/safe/", "r", ""), "secret", "other", 1), 503},
		{"unknown route", request("GET", "/none/", "r", ""), 503},
		{"public route", request("GET", "/public/", "r", ""), 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newConfiguredRig(t, time.Hour, func(s *Server) {
				catalog := testCatalog()
				catalog.Version++
				public := *catalog.Match("h.example", "/safe/")
				public.Name, public.Prefix, public.Public = "public", "/public/", true
				catalog.Add(&public)
				s.Feeds.UpdateCatalog(catalog)
				s.Feeds.ObserveEra(2)
			}, newEndpoint(t, "e", ok("yes")))
			res := r.do(c.text)
			left := r.server.Feeds.ConfirmWait(clock.Now())
			test.Eq(t, c.status, res.status)
			if c.status == 503 {
				after, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
				must.NoError(t, err)
				// It is rounded to hundredths.
				test.GreaterEq(t, left.Seconds()-0.01, after)
			}
		})
	}
}

// Guards against a configuration that was never confirmed and looks recent on a VM that has just
// booted.
func TestConfigurationThatWasNeverConfirmedIsOld(t *testing.T) {
	test.Greater(t, time.Hour, ageOf(0))
	test.GreaterEq(t, time.Minute, ageOf(clock.Now().Add(-time.Minute)))
}
