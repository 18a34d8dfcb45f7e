package gate

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// fill lets requests of another node take all slots of an engine of the rig. Their answers have
// the given number of events.
func (r *rig) fill(n ident.EndpointName, events int) {
	engine := testCatalog().Services["model"].Engine
	first := r.server.InFlight.CountOf("n2")
	for i := range engine.Slots {
		r.server.InFlight.Put(works.Request{
			Node: "n2", ID: works.ID(first + i), First: n, Prompt: 2_000, Share: 2_000, Output: ident.Tokens(events * engine.DecodeSteps),
			Gap: 250 * time.Millisecond, Target: 300 * time.Millisecond, Since: time.Now(), Writing: true,
		})
	}
}

// shortPrompt returns the text of a request with a short prompt whose caller has the given time
// left. The route's timeout is 5 s.
func shortPrompt(left time.Duration) string {
	return "POST /stream/ HTTP/1.1\r\nHost: " + rigHost + "\r\nId: r1\r\nKey: secret\r\nLeft: " + strconv.FormatInt(left.Milliseconds(), 10) +
		"\r\nPrompt: 2000\r\nContent-Length: 1\r\n\r\nx"
}

const (
	leftOfFirstTry = 5 * time.Second
	leftOfReturn   = 4 * time.Second
)

// Load: short prompts with all slots taken. Guards against callers who return and are rejected
// again although a slot is about to be free, and against requests that delay others since they
// wait with the same urgency.
func TestReturningPromptsWaitBeyondTheSlotsWithTheLowestUrgency(t *testing.T) {
	cases := []struct {
		name string
		// full is set if all slots are taken.
		full bool
		left time.Duration
		// status is the response's status, urgency the field at the endpoint.
		status  int
		urgency string
		waits   bool
	}{
		{"return, all slots taken", true, leftOfReturn, 200, "9", true},
		{"first try, all slots taken", true, leftOfFirstTry, 503, "", false},
		{"return, slots free", false, leftOfReturn, 200, "", false},
		{"first try, slots free", false, leftOfFirstTry, 200, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", streams(1, 2, true))
			l := &logBuffer{}
			r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(l) }, e)
			if c.full {
				r.fill("em", 4)
			}
			res := r.do(shortPrompt(c.left))
			must.Eq(t, c.status, res.status)
			test.Eq(t, c.waits, counterValue(t, r.server, "laburnum_beyond_slots_total") == 1)
			if c.status != 200 {
				test.Eq(t, "0.70", res.header.Get("Retry-After"))
				test.Eq(t, any(place.ErrFull.Error()), l.firstLine(t, "gate: refused")["why"])
				test.SliceEmpty(t, e.requests())
				return
			}
			must.SliceLen(t, 1, e.requests())
			test.Eq(t, c.urgency, e.requests()[0].field("Urgency"))
			for !strings.Contains(l.String(), "gate: sent") {
				// The line is written after the caller has got the answer.
				time.Sleep(time.Millisecond)
			}
			test.Eq(t, any(c.waits), l.firstLine(t, "gate: sent")["waits"])
		})
	}
}

// Guards against a caller who is rejected since the first engine's queue is full, while another
// engine's has room.
func TestARefusedRequestWaitsAtTheNextEngine(t *testing.T) {
	soonest := newEndpoint(t, "a", refuses(503))
	next := newEndpoint(t, "b", streams(1, 2, true))
	r := newRig(t, soonest, next)
	r.fill("am", 1)
	r.fill("bm", 12)
	res := r.do(shortPrompt(leftOfReturn))
	must.Eq(t, 200, res.status)
	must.SliceLen(t, 1, soonest.requests())
	must.SliceLen(t, 1, next.requests())
	test.Eq(t, "9", soonest.requests()[0].field("Urgency"))
	test.Eq(t, "9", next.requests()[0].field("Urgency"))
	test.Eq(t, 2, counterValue(t, r.server, "laburnum_beyond_slots_total"))
}

// Guards against a caller who gets an error of the gateway if the queues of all engines are full.
func TestARequestThatAllEnginesRefuseHasNotRun(t *testing.T) {
	e := newEndpoint(t, "a", refuses(503))
	r := newRig(t, e, e.alias("b"))
	r.fill("am", 1)
	r.fill("bm", 1)
	test.Eq(t, 503, r.do(shortPrompt(leftOfReturn)).status)
	test.SliceLen(t, 2, e.requests())
}

// Guards against a sound endpoint that is avoided since a request waits there for a slot for
// longer than expected.
func TestSilenceOfARequestThatWaitsIsNoFailure(t *testing.T) {
	silent := newEndpoint(t, "a", neverResponds)
	other := newEndpoint(t, "b", streams(1, 2, true))
	r := newConfiguredRig(t, 0, func(s *Server) { s.HeaderSlack = shortWait }, silent, other, other.alias("c"), other.alias("d"))
	r.fill("am", 1)
	for _, n := range []ident.EndpointName{"bm", "cm", "dm"} {
		r.fill(n, 12)
	}
	must.Eq(t, 200, r.do(shortPrompt(leftOfReturn)).status)
	must.SliceLen(t, 1, silent.requests())
	test.False(t, r.server.endpointHealth.isAvoided("am", time.Now()))
	test.False(t, r.server.endpointHealth.isSuspect("am", time.Now()))
}
