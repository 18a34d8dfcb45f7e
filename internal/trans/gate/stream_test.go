package gate

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/strik"
)

func TestStreamIsResumedAfterTheLastEvent(t *testing.T) {
	cases := []struct {
		name          string
		first, second script
		// after is the ID of the event after which the second endpoint is
		// asked to resume.
		after string
	}{
		{"ends between events", streams(1, 2, false), streams(3, 5, true), "2"},
		{"ends within an event", raw(streamHead+chunked(event(1), event(2), "id: 3\nda"), false), streams(3, 5, true), "2"},
		{"second endpoint repeats events", streams(1, 2, false), streams(1, 5, true), "2"},
		{"ends before the first event", raw(streamHead, false), streams(1, 5, true), ""},
		{"no response", dropsConnection, streams(1, 5, true), ""},
	}
	want := event(1) + event(2) + event(3) + event(4) + event(5)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "e", c.first, c.second)
			r := newRig(t, e, e.alias("f"))
			res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
			test.Eq(t, 200, res.status)
			test.NoError(t, res.err)
			test.Eq(t, want, res.body)
			must.SliceLen(t, 2, e.requests())
			test.Eq(t, c.after, e.requests()[1].field("Last-Event-Id"))
		})
	}
}

func TestStreamThatCannotResumeIsTruncated(t *testing.T) {
	e := newEndpoint(t, "e", streams(1, 2, false))
	r := newRig(t, e)
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.Error(t, res.err)
	test.Eq(t, event(1)+event(2), res.body)
}

func TestLastAttemptOfAStreamHasNoGapTimeout(t *testing.T) {
	silent := func(c net.Conn, g receivedRequest) bool {
		io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", g.field("Id"))+chunked(event(2)))
		time.Sleep(minGapTimeout + 300*time.Millisecond)
		io.WriteString(c, chunked(event(3))+lastChunk)
		return true
	}
	e := newEndpoint(t, "e", streams(1, 1, false), silent)
	r := newRig(t, e, e.alias("f"), e.alias("g"))
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.NoError(t, res.err)
	test.Eq(t, event(1)+event(2)+event(3), res.body)
}

// Guards against an answer without length and chunks that an endpoint broke off, and
// that counts as complete: the caller got an empty stream, and the crash no strike.
func TestUnframedStreamThatIsBrokenOffIsResumed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n"
	cases := []struct {
		name  string
		first string
	}{
		{"before the first event", head},
		{"within the first event", head + "id: 1\nda"},
		{"within a later event", head + event(1) + event(2) + "id: 3\n"},
	}
	want := event(1) + event(2) + event(3)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := c.first
			var crashed atomic.Bool
			var es []*scriptedEndpoint
			for _, name := range []string{"e", "f"} {
				var e *scriptedEndpoint
				e = newEndpoint(t, name, func(c net.Conn, g receivedRequest) bool {
					if crashed.Swap(true) {
						return raw(head+want, false)(c, g)
					}
					raw(first, false)(c, g)
					e.end()
					return false
				})
				es = append(es, e)
			}
			strikes := make(chan strik.Strike, 10)
			r := newConfiguredRig(t, 0, announcesStrikes(strikes), es...)
			res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
			test.NoError(t, res.err)
			test.Eq(t, want, res.body)
			receive(t, strikes)
			test.Zero(t, len(strikes))
		})
	}
}

// A body that is whole but whose last event lacks its empty line is no broken
// connection. Guards against strikes for it, after which the request would be
// rejected as one that crashes endpoints.
func TestIncompleteLastEventIsNoStrike(t *testing.T) {
	e := newEndpoint(t, "e", raw(streamHead+chunked(event(1), "id: 2\ndata: e2\n")+lastChunk, true))
	r := newRig(t, e)
	var strikes atomic.Int32
	r.server.AnnounceStrike = func(strik.Strike) { strikes.Add(1) }
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.Error(t, res.err, test.Sprint("the answer must not look complete"))
	test.Eq(t, 0, strikes.Load())
}
