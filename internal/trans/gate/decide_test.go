package gate

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/pkg/ident"
)

// twelveEngines returns endpoints that together hold a prompt of 300,000 tokens. Their answers
// have an end if whole is set.
func twelveEngines(t *testing.T, whole bool) []*scriptedEndpoint {
	e := newEndpoint(t, "a", streams(1, 2, whole))
	es := []*scriptedEndpoint{e}
	for i := range 11 {
		es = append(es, e.alias(fmt.Sprint("e", i)))
	}
	return es
}

// Guards against sizes that are served less often than others without any node noticing:
// the nodes tell each other of each decision on a prompt that may be deferred.
func TestDecisionsOnDeferrablePromptsAreAnnounced(t *testing.T) {
	cases := []struct {
		name   string
		prompt ident.Tokens
		// full is set if no engine reserves memory, whole if the answer has an end.
		full, whole bool
		want        []bool
	}{
		{"admitted", 300_000, false, true, []bool{true}},
		{"refused", 300_000, true, true, []bool{false}},
		{"broken off", 300_000, false, false, []bool{true, false}},
		{"never deferred", 5_000, false, true, nil},
	}
	for _, c := range cases {
		es := twelveEngines(t, c.whole)
		decided := make(chan bysize.Decision, 10)
		r := newConfiguredRig(t, 0, func(s *Server) { s.AnnounceDecision = func(d bysize.Decision) { decided <- d } }, es...)
		for _, e := range es {
			r.reserver.full[e.name+"m"] = c.full
		}
		r.do(request("POST", "/stream/", "r1", "x", fmt.Sprint("Prompt: ", c.prompt)))
		var got []bool
		for range c.want {
			d := <-decided
			test.Eq(t, c.prompt, d.Prompt)
			test.Eq(t, ident.RouteName("stream"), d.Route)
			test.NotEq(t, 0, d.Request)
			got = append(got, d.Admitted)
		}
		test.Eq(t, c.want, got, test.Sprint(c.name))
		test.Eq(t, 0, len(decided), test.Sprint(c.name))
		brokenOff := counterValue(t, r.server, "laburnum_size_requests_total", "stream", bysize.Smallest.String(), "broken-off")
		test.Eq(t, c.name == "broken off", brokenOff == 1, test.Sprint(c.name))
	}
}

// Guards against a size class that is served less than others without any log line or metric
// that shows it: each request that may be deferred is counted and logged, and all its lines have
// the digest and the load by which it was placed.
func TestRequestsAreReportedBySizeClass(t *testing.T) {
	cases := []struct {
		name, message, outcome string
		full                   bool
	}{
		{"served", "gate: sent", "served", false},
		{"refused", "gate: refused", "refused", true},
	}
	for _, c := range cases {
		es := twelveEngines(t, true)
		l := &logBuffer{}
		r := newConfiguredRig(t, 0, func(s *Server) { s.Logger = zerolog.New(l) }, es...)
		for _, e := range es {
			r.reserver.full[e.name+"m"] = c.full
		}
		conn := r.dial()
		for _, text := range []string{request("POST", "/stream/", "r1", "x", "Prompt: 300000"), request("POST", "/stream/", "r2", "x", "Prompt: 5000")} {
			// The first request has ended once the second is answered.
			io.WriteString(conn, text)
			_, err := readResponse(conn)
			must.NoError(t, err)
		}
		m := l.firstLine(t, c.message)
		for _, field := range []string{"digest", "loss", "maxLoss", "interactiveLoss", "maxInteractiveLoss", "favour"} {
			test.MapContainsKey(t, m, field, test.Sprint(c.name))
		}
		class := bysize.Smallest.String()
		test.Eq(t, 1, counterValue(t, r.server, "laburnum_size_requests_total", "stream", class, "asked"), test.Sprint(c.name))
		test.Eq(t, 1, counterValue(t, r.server, "laburnum_size_requests_total", "stream", class, c.outcome), test.Sprint(c.name))
	}
}

// Guards against a request that counts twice in its size class, once as refused, because its
// caller came back to another node: all tries of a request have the same key.
func TestTriesOfARequestHaveTheSameKey(t *testing.T) {
	keyOf := func(id, body string) bysize.RequestKey {
		decided := make(chan bysize.Decision, 10)
		r := newConfiguredRig(t, 0, func(s *Server) { s.AnnounceDecision = func(d bysize.Decision) { decided <- d } }, twelveEngines(t, true)...)
		r.do(request("POST", "/stream/", id, body, "Prompt: 300000"))
		return (<-decided).Request
	}
	first := keyOf("r1", "x")
	test.Eq(t, first, keyOf("r2", "x"))
	test.NotEq(t, first, keyOf("r2", "y"))
}

func TestDecisionsOfPeersFavourTheSizeThatLags(t *testing.T) {
	r := newRig(t, newEndpoint(t, "a", ok("")))
	for i := range 20 {
		r.server.AddPeerDecisions([]bysize.Decision{{Route: "stream", Prompt: ident.Tokens(280_000 + 1000*i), Admitted: i < 15, At: time.Now()}})
	}
	catalog := r.server.Feeds.Catalog()
	x := &exchange{server: r.server, route: catalog.Match("h.example", "/stream/"), service: catalog.Services["model"]}
	must.NotNil(t, x.route)
	largest := x.favour(place.Request{Prompt: 400_000}, time.Now())
	test.Greater(t, 1, largest)
	test.Less(t, 1, x.favour(place.Request{Prompt: 281_000}, time.Now()), test.Sprint("ahead"))
	test.Zero(t, x.favour(place.Request{Prompt: 5_000}, time.Now()), test.Sprint("never deferred"))
}
