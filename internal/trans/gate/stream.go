package gate

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// streamBuffer is the first size of the memory for events in bytes.
	streamBuffer = 2 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
	// gapFactor times the pause that callers accept, and gapLeast at least,
	// is how long a stream may be silent.
	gapFactor = 3
	gapLeast  = 1600 * time.Millisecond
)

// relayStream passes events on as they come, each whole. A stream that is cut
// can go on at another endpoint after the last event passed on.
func (a *attempt) relayStream(res *http1.Response, o outcome) (outcome, bool) {
	body := http1.NewBody(a.link.Reader, res.Framing, res.Length)
	buf := make([]byte, 0, streamBuffer)
	first := true
	var passed time.Time
	for {
		if !first {
			a.readUntil(a.gapEnd())
		}
		if len(buf) == cap(buf) {
			if len(buf) >= maxEvent {
				o.result, o.why = unanswered, "event is too long"
				return o, false
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end := eventsEnd(buf)
		ended := err == io.EOF && end == len(buf)
		if end > 0 || ended {
			now := time.Now()
			if !first {
				o.gap = max(o.gap, now.Sub(passed))
			}
			passed = now
			if first && end > 0 {
				first = false
				o.first = time.Since(a.began)
				a.server.Works.MarkDecoding(a.server.Node, a.work)
				a.server.Wrote(a.work)
			}
			if !a.passEvents(res, a.unseen(buf[:end]), ended) {
				o.result, o.why = complete, "caller left"
				return o, false
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if ended {
			o.result = complete
			return o, !res.Close
		}
		if err != nil {
			o.result, o.broke, o.why = unanswered, broke(err), "stream is cut: "+err.Error()
			return o, false
		}
	}
}

// gapEnd is the moment until which the next event must come, if another
// endpoint can be asked then. Silence alone is no reason to end an answer.
func (a *attempt) gapEnd() time.Time { return a.within(max(gapLeast, gapFactor*a.route.Gap)) }

// passEvents writes events, the header before the first and the end after the
// last.
func (a *attempt) passEvents(res *http1.Response, events []byte, ended bool) bool {
	var b []byte
	if !a.begun {
		b = passedHead(res)
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		b = closeField(b, a.last())
		a.begun = true
	}
	if len(events) > 0 {
		b = chunk(b, events)
	}
	if ended {
		b = append(b, lastChunk...)
	}
	if len(b) > 0 && !a.exchange.write(b) {
		return false
	}
	if id := lastID(events); id != "" {
		a.lastEvent = id
	}
	return true
}

// unseen drops the events at the start that the caller has already.
func (a *attempt) unseen(events []byte) []byte {
	seen, err := strconv.ParseInt(a.lastEvent, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := eventEnd(events)
		id, err := strconv.ParseInt(lastID(events[:end]), 10, 64)
		if err != nil || id > seen {
			break
		}
		events = events[end:]
	}
	return events
}

// eventEnd returns the end of the first event, eventsEnd that of the last one
// that is whole.
func eventEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return len(b)
}

func eventsEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	const field = "id:"
	for {
		i := bytes.LastIndex(events, []byte(field))
		if i < 0 {
			return ""
		}
		if i > 0 && events[i-1] != '\n' {
			events = events[:i]
			continue
		}
		line, _, _ := bytes.Cut(events[i+len(field):], []byte{'\n'})
		return string(bytes.TrimSpace(line))
	}
}
