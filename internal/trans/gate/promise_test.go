package gate

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/pkg/ident"
)

// promises are answers that callers take for the promise that the request has not run.
var promises = []struct {
	name   string
	script script
}{
	{"503 not run", refuses(503)},
	{"429 not run", refuses(429)},
	{"421", misdirects()},
	{"404 not run", refuses(404)},
	{"503", fails(503)},
	{"429", fails(429)},
	{"408", fails(408)},
}

// checkNoPromise checks that the caller got 502 without anything of an endpoint's answer.
func checkNoPromise(t *testing.T, res response) {
	t.Helper()
	test.NoError(t, res.err)
	test.Eq(t, 502, res.status)
	test.Eq(t, "", res.body)
	for _, n := range []string{"Retry-After", "Not-Run", "Signed", "Id"} {
		test.Eq(t, "", res.header.Get(n), test.Sprint(n))
	}
}

// Guards against a caller who sends a request again that an earlier try may have run, since the
// answer to a later one was passed on that promises the opposite.
func TestNoPromiseAfterAPossibleRun(t *testing.T) {
	noEvent := raw(streamHead, false)
	firsts := []struct {
		name, target string
		script       script
	}{
		{"idempotent, broken", "/safe/", dropsConnection},
		{"idempotent, failed", "/safe/", fails(500)},
		{"idempotent, failed with 503", "/safe/", fails(503)},
		{"stream, broken", "/stream/", dropsConnection},
		{"stream, broken after the header", "/stream/", noEvent},
		{"stream, failed", "/stream/", fails(500)},
	}
	for _, first := range firsts {
		for _, p := range promises {
			t.Run(first.name+", "+p.name, func(t *testing.T) {
				e := newEndpoint(t, "e", first.script, p.script)
				r := newRig(t, e, e.alias("f"))
				checkNoPromise(t, r.do(request("POST", first.target, "r1", "x", "Prompt: 100")))
				test.SliceLen(t, 2, e.requests())
			})
		}
	}
}

// Guards against a request that may run only once and is sent again after a possible run, and
// against a caller who is not told that a request can't have run.
func TestPromisesOfRequestsThatMayRunOnce(t *testing.T) {
	cases := []struct {
		name    string
		scripts []script
		status  int
		sends   int
	}{
		{"broken", []script{dropsConnection, refuses(503)}, 502, 1},
		{"failed", []script{fails(500), refuses(503)}, 500, 1},
		{"refused, broken", []script{refuses(503), dropsConnection}, 502, 2},
		{"refused twice", []script{refuses(503), refuses(503)}, 503, 2},
		{"refused, 429", []script{refuses(503), fails(429)}, 429, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", c.scripts...)
			r := newRig(t, e, e.alias("f"))
			test.Eq(t, c.status, r.do(request("POST", "/once/", "r1", "x")).status)
			test.SliceLen(t, c.sends, e.requests())
		})
	}
}

// Guards against a promise after a retry over a peer: the first try went over the node's own link.
func TestNoPromiseAfterARetryOverAPeer(t *testing.T) {
	for _, target := range []string{"/safe/", "/stream/"} {
		for _, p := range promises {
			t.Run(target+" "+p.name, func(t *testing.T) {
				var c *cutRig
				breaks := func(net.Conn, receivedRequest) bool {
					c.lost.Store(true)
					return false
				}
				e := newEndpoint(t, "e", breaks, p.script)
				c = newCutRig(t, e, e.alias("f"))
				checkNoPromise(t, c.do(request("POST", target, "r1", "x", "Prompt: 100")))
				test.SliceLen(t, 2, e.requests())
				test.Positive(t, len(c.tunnels))
			})
		}
	}
}

// writes returns a script that writes the texts of a channel, and breaks the connection at its end.
func writes(texts <-chan string) script {
	return func(c net.Conn, g receivedRequest) bool {
		for text := range texts {
			raw(text, true)(c, g)
		}
		return false
	}
}

// Guards against a promise while another endpoint still runs the request, or has broken it off,
// and against an endpoint that is left for one that has not answered the request.
func TestNoPromiseBesideAnotherSend(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nyes"
	cases := []struct {
		name string
		// promisesFirst is set if the first of two silent endpoints promises, or else the second
		// does. The other one then sends rest.
		promisesFirst bool
		rest          string
		status        int
	}{
		{"the first promises, the other breaks off", true, "", 502},
		{"the first promises, the other answers", true, whole, 200},
		{"the second promises, the other breaks off", false, "", 502},
		{"the second promises, the other answers", false, whole, 200},
	}
	answers := []struct{ name, text string }{
		{"503 not run", "HTTP/1.1 503 Busy\r\nId: %ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"503", "HTTP/1.1 503 Busy\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"},
		{"429", "HTTP/1.1 429 Busy\r\nId: %ID\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		for _, answer := range answers {
			t.Run(c.name+", "+answer.name, func(t *testing.T) {
				first, second := make(chan string), make(chan string)
				e := newEndpoint(t, "e", writes(first), writes(second))
				r := newSilenceRig(t, 2, e, e.alias("f"))
				promising, other := second, first
				if c.promisesFirst {
					promising, other = first, second
				}
				ended := func() float64 { return r.sent(refused) + r.sent(failed) + r.sent(unusable) }
				go func() {
					waitFor(t, func() bool { return len(e.requests()) == 2 })
					promising <- answer.text
					waitFor(t, func() bool { return ended() > 0 })
					if c.rest != "" {
						other <- c.rest
					}
					close(other)
					close(promising)
				}()
				res := r.do(request("POST", "/safe/", "r1", "x"))
				test.Eq(t, c.status, res.status)
				if c.status == 502 {
					checkNoPromise(t, res)
				}
			})
		}
	}
}

// Guards against the node's own rejections with 503 after a possible run.
func TestOwnRejectionAfterAPossibleRun(t *testing.T) {
	cases := []struct {
		name string
		// then is called before the first try breaks off.
		then func(*rig)
	}{
		{"no other endpoint", func(*rig) {}},
		{"evacuated", func(r *rig) { r.server.evacuate("a") }},
		{"stopping", func(r *rig) { r.server.drainFrom(time.Now().Add(-r.server.GracePeriod)) }},
		{"no memory", func(r *rig) {
			r.reserver.mu.Lock()
			defer r.reserver.mu.Unlock()
			for _, e := range r.server.Feeds.Endpoints().ByName {
				r.reserver.full[string(e.Name)] = true
			}
		}},
	}
	for _, c := range cases {
		for _, prompt := range []string{"100", "150000"} {
			t.Run(c.name+", prompt "+prompt, func(t *testing.T) {
				var r *rig
				breaks := func(net.Conn, receivedRequest) bool {
					c.then(r)
					return false
				}
				e := newEndpoint(t, "e", breaks, refuses(503))
				es := []*scriptedEndpoint{e}
				if c.name != "no other endpoint" || prompt != "100" {
					for _, n := range []string{"b", "c", "d", "f", "g", "h", "i", "j"} {
						es = append(es, e.alias(n))
					}
				}
				r = newRig(t, es...)
				checkNoPromise(t, r.do(request("POST", "/stream/", "r1", "x", "Prompt: "+prompt)))
			})
		}
	}
}

// Guards against results of sends that count as possible runs in one place and not in another.
func TestResultsThatMayBeRuns(t *testing.T) {
	runs := ident.Set[string]{}
	for r := notSent; r <= complete; r++ {
		if r.mayHaveRun() {
			runs.Add(r.String())
		}
	}
	test.Eq(t, []string{"cancelled", "failed", "superseded", "unanswered", "unusable"}, runs.Sorted())
}
