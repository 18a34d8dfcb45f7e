package gate

import (
	"fmt"
	"io"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// sends sends the given texts as the body of a stream, and then its end if whole is set.
func sends(whole bool, events ...string) script {
	text := streamHead + chunked(events...)
	if whole {
		text += lastChunk
	}
	return raw(text, whole)
}

// Guards against a stream that ends as complete before its last piece: the next endpoint
// ended its own without an event after the last one forwarded.
func TestResumedStreamEndsOnlyAfterItsLastEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: 1\r\n" + streamType
	for _, c := range []struct {
		name   string
		script script
		whole  bool
	}{
		{"no event", sends(true), false},
		{"no event, length of 0", answers(200, "Id: %ID\r\nSigned: 1\r\n"+streamType, ""), false},
		{"no event, until the connection ends", raw(head+"\r\n", false), false},
		{"a comment", sends(true, ": alive\n\n"), false},
		{"repeats a part", sends(true, event(1)), false},
		{"repeats all", sends(true, event(1), event(2)), true},
		{"repeats all until the connection ends", raw(head+"\r\n"+event(1)+event(2), false), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := resumeWith(t, c.script)
			test.Eq(t, event(1)+event(2), res.body)
			if c.whole {
				test.NoError(t, res.err)
				return
			}
			test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut"))
		})
	}
}

// Guards against a stream in which a piece is missing or of which the order is unknown: the
// events of the next endpoint did not follow the last one forwarded.
func TestResumedEventsFollowTheLastOneForwarded(t *testing.T) {
	const unnumbered = "data: x\n\n"
	for _, c := range []struct {
		name   string
		script script
		last   int
	}{
		{"starts too late", sends(true, event(4), event(5)), 2},
		{"skips one later", sends(true, event(3), event(5)), 3},
		{"no IDs", sends(true, unnumbered, unnumbered), 2},
		{"no ID later", sends(true, event(3), unnumbered), 3},
		{"IDs are no numbers", sends(true, "id: a\ndata: x\n\n"), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := resumeWith(t, c.script)
			test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut"))
			want := ""
			for i := range c.last {
				want += event(i + 1)
			}
			test.Eq(t, want, res.body)
		})
	}
	t.Run("repeats an earlier one later", func(t *testing.T) {
		res := resumeWith(t, sends(true, event(3), event(2), event(4)))
		test.NoError(t, res.err)
		test.Eq(t, event(1)+event(2)+event(3)+event(4), res.body)
	})
}

// Numbers need not follow one by one: if those of the stream so far don't, a gap is no sign
// of a missing piece.
func TestStreamWithGapsOfItsOwnIsResumed(t *testing.T) {
	e := newEndpoint(t, "e", sends(false, event(10), event(20)), sends(true, event(30), event(40)))
	res := newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
	test.NoError(t, res.err)
	test.Eq(t, event(10)+event(20)+event(30)+event(40), res.body)
}

// Guards against events of two runs that are joined: without the number of the last event
// forwarded, the next endpoint starts anew.
func TestStreamWithoutNumbersIsNotResumed(t *testing.T) {
	for i, last := range []string{"data: b\n\n", "id: b\ndata: b\n\n"} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			e := newEndpoint(t, "e", sends(false, event(1), last), sends(true, event(2), event(3)))
			res := newRig(t, e, e.alias("f")).do(request("POST", "/stream/", "r1", "x", "Prompt: 100"))
			test.ErrorIs(t, res.err, io.ErrUnexpectedEOF, test.Sprint("the stream is cut"))
			test.Eq(t, event(1)+last, res.body)
			must.SliceLen(t, 1, e.requests())
		})
	}
}
