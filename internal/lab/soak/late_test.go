package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/topol"
)

func TestLateRequestsOfAStopAreFound(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	late := Call{
		ID: "a", Kind: topol.Once, Node: "n1", SentAt: at(10), EndedAt: at(13), Timeout: 4 * time.Second,
		Status: http.StatusGatewayTimeout, Runs: []Run{{}},
	}
	with := func(f func(*Call)) Call { c := late; f(&c); return c }
	stop := Disturbance{Node: "n1", StartedAt: at(9), EndedAt: at(14), IsGracefulShutdown: true}
	crash := Disturbance{Kind: CrashEndpoint.String(), StartedAt: at(10), EndedAt: at(11)}
	cases := []struct {
		name         string
		call         Call
		disturbances []Disturbance
		want         int
	}{
		{"passed on and not answered", late, []Disturbance{stop}, 1},
		{"no answer at all", with(func(c *Call) { c.Status = 0 }), []Disturbance{stop}, 1},
		{"sent before the stop", with(func(c *Call) { c.SentAt = at(8) }), []Disturbance{stop}, 0},
		{"no stop", late, nil, 0},
		{"another node stops", late, []Disturbance{{Node: "n2", StartedAt: at(9), EndedAt: at(14), IsGracefulShutdown: true}}, 0},
		{"answered", with(func(c *Call) { c.Status = http.StatusOK }), []Disturbance{stop}, 0},
		{"refused", with(func(c *Call) { c.Status, c.Runs = http.StatusServiceUnavailable, nil }), []Disturbance{stop}, 0},
		{"not passed on", with(func(c *Call) { c.Runs = nil }), []Disturbance{stop}, 0},
		{"cut off by its endpoint", with(func(c *Call) { c.Runs = []Run{{Truncated: true}} }), []Disturbance{stop}, 0},
		{"an endpoint crashed", late, []Disturbance{stop, crash}, 0},
		{"the caller left", with(func(c *Call) { c.AbandonedAt = at(11) }), []Disturbance{stop}, 0},
		{"a stream", with(func(c *Call) { c.Kind = topol.Stream }), []Disturbance{stop}, 0},
	}
	for _, c := range cases {
		j := NewJournal()
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		test.SliceLen(t, c.want, j.checkLate(&c.call, UserBounds()), test.Sprint(c.name))
	}
}
