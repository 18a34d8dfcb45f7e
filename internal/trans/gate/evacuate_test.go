package gate

import (
	"strconv"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// evacuate makes some data centres the evacuated ones.
func (r *rig) evacuate(names ...ident.DataCentre) {
	r.server.Feeds.MergeEvacuations(feeds.Evacuations{InForce: names, ConfirmedAt: clock.Now()}, feeds.Position{})
}

// Guards against callers who come back before any endpoint can take them, since the endpoints of
// an evacuated data centre want requests and the others want none for a time.
func TestRestOfTheOthersCountsDuringAnEvacuation(t *testing.T) {
	resting, idle := newEndpoint(t, "a0", rests("20")), newEndpoint(t, "b0", ok("yes"))
	r := newRig(t)
	r.list(listed{resting, "a", 1, ""}, listed{idle, "b", 1, ""})
	r.evacuate("b")
	r.do(request("GET", "/safe/", "r1", ""))
	res := r.do(request("GET", "/safe/", "r1", ""))
	must.Eq(t, 503, res.status)
	after, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	test.Between(t, 10, after, 20)
	test.SliceLen(t, 1, resting.requests())
	test.SliceEmpty(t, idle.requests())
}
