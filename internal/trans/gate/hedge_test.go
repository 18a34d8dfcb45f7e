package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

// wholeStream is the number of events of the streams in TestStreamOfSeveralAttempts.
const wholeStream = 5

// behaviour is how an endpoint answers a send of a stream.
type behaviour struct {
	// refusal is the whole answer, if it is not empty.
	refusal string
	// pauses are the silences before each event and before the end.
	pauses []time.Duration
	// from is the first event; zero is the one after the last that the caller got.
	from int
	// events is the number of events after which the endpoint drops the connection.
	events int
}

func (b behaviour) script(c net.Conn, g receivedRequest) bool {
	pause := func(i int) { time.Sleep(b.pauses[i%len(b.pauses)]) }
	write := func(text string) { io.WriteString(c, strings.ReplaceAll(text, "%ID", g.field("Id"))) }
	if b.refusal != "" {
		pause(0)
		write(b.refusal)
		return true
	}
	next := b.from
	if next == 0 {
		last, _ := strconv.Atoi(g.field("Last-Event-Id"))
		next = last + 1
	}
	for i := range b.events {
		pause(i)
		if i == 0 {
			write(streamHead)
		}
		if next > wholeStream {
			break
		}
		write(chunked(event(next)))
		next++
	}
	pause(b.events)
	if next > wholeStream && b.events > 0 {
		write(lastChunk)
	}
	return false
}

// finishes reports whether the endpoint sends the rest of any stream.
func (b behaviour) finishes() bool { return b.refusal == "" && b.from <= 1 && b.events >= wholeStream }

// sendsNothing reports whether the endpoint sends no event.
func (b behaviour) sendsNothing() bool { return b.refusal != "" || b.events == 0 }

func (b behaviour) refuses() bool { return strings.Contains(b.refusal, "Not-Run") }

const plainAnswer = "HTTP/1.1 %d Status\r\nId: %%ID\r\nSigned: 1\r\n%sContent-Length: 4\r\n\r\noops"

// behaviours draws a behaviour. The wait of the rig is shortWait.
func drawBehaviour(t *rapid.T) behaviour {
	pause := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, shortWait / 2, 2 * shortWait, 3 * shortWait})
	refusal := ""
	if rapid.IntRange(0, 3).Draw(t, "answersAtOnce") == 0 {
		refusal = rapid.SampledFrom([]string{
			fmt.Sprintf(plainAnswer, 503, "Not-Run: 1\r\n"), fmt.Sprintf(plainAnswer, 500, ""), fmt.Sprintf(plainAnswer, 503, ""),
		}).Draw(t, "refusal")
	}
	return behaviour{
		refusal: refusal,
		pauses:  rapid.SliceOfN(pause, 1, wholeStream).Draw(t, "pauses"),
		from:    rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 4}).Draw(t, "from"),
		events:  rapid.SampledFrom([]int{0, 1, 2, 3, wholeStream, wholeStream, wholeStream}).Draw(t, "events"),
	}
}

// mustBeWhole reports whether the caller must get the whole stream: one of the sends that the
// route allows finishes it, and none of the others sends a part of it.
func mustBeWhole(bs []behaviour, attempts int) bool {
	runs, isReached := 0, false
	for i, b := range bs {
		if !b.finishes() && !b.sendsNothing() {
			return false
		}
		if b.finishes() && runs < attempts && i < maxSends {
			isReached = true
		}
		if !b.refuses() {
			runs++
		}
	}
	return isReached
}

// Guards against gaps, repeats and joined runs in streams, and against streams that are cut or
// run too often, whatever silences, failures and events of several endpoints come together.
func TestStreamOfSeveralAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		bs := rapid.SliceOfN(rapid.Custom(drawBehaviour), maxSends, maxSends).Draw(rt, "behaviours")
		scripts := make([]script, len(bs))
		for i, b := range bs {
			scripts[i] = b.script
		}
		e := newEndpoint(t, "e", scripts...)
		r := newSilenceRig(t, attempts, e, e.alias("f"), e.alias("g"), e.alias("h"))
		res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))

		received := e.requests()
		runs := 0
		for i := range received {
			if !bs[min(i, len(bs)-1)].refuses() {
				runs++
			}
		}
		if runs > attempts {
			rt.Fatalf("%d runs, %d are allowed", runs, attempts)
		}
		isWhole := res.status == 200 && res.err == nil
		if mustBeWhole(bs, attempts) && !isWhole {
			rt.Fatalf("status %d, %v, %q: the stream is not whole", res.status, res.err, res.body)
		}
		if res.status != 200 {
			return
		}
		checkEvents(rt, res.body, isWhole)
		waitForEnd(r)
	})
}

// checkEvents checks that the events of a stream follow one by one, up to the last if it is
// whole.
func checkEvents(t *rapid.T, body string, isWhole bool) {
	next := 0
	for body != "" {
		if next == 0 {
			fmt.Sscanf(body, "id: %d", &next)
		}
		rest, ok := strings.CutPrefix(body, event(next))
		if !ok {
			t.Fatalf("event %d is expected: %q", next, body)
		}
		body = rest
		next++
	}
	if isWhole && next != wholeStream+1 {
		t.Fatalf("the stream ended as whole before event %d", next)
	}
}

// waitForEnd waits until no attempt is under way.
func waitForEnd(r *rig) {
	for len(r.server.InFlight.All()) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an answer that is lost since its link was taken for lost: the endpoint is
// sound, and the other one refuses.
func TestAttemptOverAnAbandonedLinkGoesOn(t *testing.T) {
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			first := newParts()
			e := newEndpoint(t, "e", first.script, refuses(503))
			r := newRig(t, e, e.alias("f"))
			go func() {
				first.next <- s.before
				waitFor(t, func() bool { return len(e.requests()) == 1 })
				r.server.direct.abandonAll()
				waitFor(t, func() bool { return r.sent(refused) > 0 })
				first.next <- s.after
			}()
			r.doWhole(request("POST", s.target, "r1", "x", "Prompt: 100"), s.wantWhole)
			test.SliceLen(t, 2, e.requests())
		})
	}
}

// Guards against an answer that is lost since its bytes come over a peer, whose framing can't
// be read on after a deadline has passed.
func TestSilentEndpointOverAPeerGoesOn(t *testing.T) {
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			first := newParts()
			e := newEndpoint(t, "e", first.script, refuses(503))
			c := newCutRig(t, e, e.alias("f"))
			c.server.MinGapWait, c.server.HeaderSlack = 4*shortWait, 4*shortWait
			catalog := testCatalog()
			catalog.Version++
			for _, route := range catalog.Routes {
				route.Gap, route.Target, route.Timeout = time.Millisecond, 4*shortWait, 4*time.Second
			}
			c.server.Feeds.UpdateCatalog(catalog)
			c.lost.Store(true)
			go func() {
				first.next <- s.before
				waitFor(t, func() bool { return c.sent(refused) > 0 })
				first.next <- s.after
			}()
			c.doWhole(request("POST", s.target, "r1", "x", "Prompt: 100"), s.wantWhole)
			test.SliceLen(t, 2, e.requests())
		})
	}
}

// Guards against memory that stays reserved for an attempt that was cancelled, or for one that
// was left.
func TestMemoryOfAllAttemptsIsReleased(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		t.Run(fmt.Sprint("the silent one goes on ", goesOn), func(t *testing.T) {
			first, second := newParts(), newParts()
			e := newEndpoint(t, "a", first.script, second.script)
			es := []*scriptedEndpoint{e}
			for i := range 11 {
				es = append(es, e.alias(fmt.Sprint("b", i)))
			}
			r := newConfiguredRig(t, 0, func(s *Server) { s.MinGapWait = shortWait }, es...)
			go func() {
				first.next <- streamHead + chunked(event(1))
				waitFor(t, func() bool { return len(e.requests()) == 2 })
				if goesOn {
					first.next <- chunked(event(2)) + lastChunk
					return
				}
				second.next <- streamHead + chunked(event(2)) + lastChunk
			}()
			r.doWhole(request("POST", "/stream/", "r1", "x", "Prompt: 150000"), event(1)+event(2))
			waitForEnd(r)
			reserved := ident.Set[string]{}
			waitFor(t, func() bool {
				r.reserver.mu.Lock()
				defer r.reserver.mu.Unlock()
				for _, reservation := range r.reserver.reserved {
					reserved.Add(reservation.ID)
				}
				return len(r.reserver.released) == len(reserved)
			})
			test.Greater(t, 1, len(reserved))
		})
	}
}

// Guards against an event that comes twice: it was whole in a chunk that was not, and so was
// read only when the stream was left for another endpoint that had sent it.
func TestEventOfAStreamThatIsLeftComesOnce(t *testing.T) {
	first := newParts()
	e := newEndpoint(t, "e", first.script, streams(2, 4, true))
	r := newSilenceRig(t, 2, e, e.alias("f"))
	c := r.dial()
	io.WriteString(c, request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	first.next <- streamHead + chunked(event(1))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	begun := make([]byte, len(event(1)))
	_, err = io.ReadFull(res.Body, begun)
	must.NoError(t, err)
	first.next <- "20\r\n" + event(2)
	rest, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	test.Eq(t, event(1)+event(2)+event(3)+event(4), string(begun)+string(rest))
}

// Guards against an answer that waits until the silent endpoint's next deadline: it was
// reported between two reads from that endpoint.
func TestReportBetweenTwoReadsInterruptsTheNext(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	x := &exchange{server: &Server{}, route: &topol.Route{Kind: topol.Stream}, deadline: time.Now().Add(time.Hour)}
	a := &attempt{exchange: x, link: links.NewLink(near)}
	x.setCurrent(a)
	must.True(t, a.attach())
	b := &attempt{exchange: x}
	x.addOther(b)
	must.True(t, b.report())
	a.setReadDeadline()
	_, err := near.Read(make([]byte, 1))
	test.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against memory, connections and retries that are used for a caller who has left while
// one attempt has ended and another is still connecting.
func TestNoFurtherAttemptForACallerWhoHasLeft(t *testing.T) {
	route := &topol.Route{Kind: topol.Idempotent, Attempts: 3}
	x := &exchange{route: route, deadline: time.Now().Add(time.Hour), others: []*attempt{{}}}
	must.True(t, x.mayRunElsewhere(time.Now()))
	x.callerDisconnected = true
	test.False(t, x.mayRunElsewhere(time.Now()))
}

// Guards against an answer that is judged, beside the attempt that writes to the caller, by
// what that one has written meanwhile.
func TestAnswerIsJudgedByTheStartOfItsAttempt(t *testing.T) {
	x := &exchange{route: &topol.Route{Kind: topol.Stream}}
	res := &http1.Response{Status: http.StatusNotFound}
	begun, resumed := &attempt{exchange: x}, &attempt{exchange: x, isResumed: true}
	for _, x.headerSent = range []bool{false, true} {
		test.Eq(t, finalAnswer, begun.classify(res, relay.ResponseHeader{}))
		test.Eq(t, unusableAnswer, resumed.classify(res, relay.ResponseHeader{}))
	}
}
