package gate

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
)

const (
	// initialStreamBuffer is the initial size of the buffer for events in
	// bytes.
	initialStreamBuffer = 2 << 10
	// maxEventSize bounds one event in bytes.
	maxEventSize = 1 << 20
	// If a stream has no event for gapFactor times the route's Gap, and for at
	// least minGapTimeout, another endpoint is tried; see gapDeadline.
	gapFactor     = 3
	minGapTimeout = 1600 * time.Millisecond
)

// relayStream passes each event on to the caller as soon as it is complete. A
// stream that ends early can therefore be resumed at another endpoint after the
// last event that was passed on.
func (a *attempt) relayStream(res *http1.Response, o outcome) (outcome, bool) {
	body := http1.NewBodyReader(a.link.Reader, res.Framing, res.Length)
	buf := make([]byte, 0, initialStreamBuffer)
	awaitingFirst := true
	var lastForwarded time.Time
	// waitingSince is when the wait for the rest of the next event began.
	var waitingSince time.Time
	for {
		if !awaitingFirst {
			if len(buf) == 0 {
				waitingSince = time.Now()
			}
			a.setReadDeadline(a.gapDeadline(waitingSince))
		}
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventSize {
				o.result, o.reason = unanswered, "event is too long"
				return o, false
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		if n > 0 {
			a.hear()
		}
		buf = buf[:len(buf)+n]
		end := completeEventsEnd(buf)
		// A stream without events whose end only the end of the connection marks was
		// broken off.
		empty := awaitingFirst && end == 0 && res.Framing == http1.UntilClose
		ended := err == io.EOF && end == len(buf) && !empty
		if end > 0 || ended {
			now := time.Now()
			if !awaitingFirst {
				o.maxGap = max(o.maxGap, now.Sub(lastForwarded))
			}
			lastForwarded, waitingSince = now, now
			if awaitingFirst && end > 0 {
				awaitingFirst = false
				o.timeToFirst = time.Since(a.startedAt)
				a.server.InFlight.MarkDecoding(a.server.Node, a.inFlightID)
				a.server.AnnounceDecoding(a.inFlightID)
			}
			if !a.forwardEvents(res, a.dropForwarded(buf[:end]), ended) {
				o.result, o.reason = complete, "caller left"
				return o, false
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if ended {
			o.result = complete
			o.whole, o.framed = true, res.Framing != http1.UntilClose
			return o, !res.Close
		}
		if err != nil {
			// io.EOF is the end of the body. Unless the end of the connection marks it,
			// the endpoint did not break off.
			bodyEnded := err == io.EOF && res.Framing != http1.UntilClose
			o.result, o.connBroken, o.reason = unanswered, isConnBroken(err) && !bodyEnded, "stream truncated: "+err.Error()
			o.peerLost = errors.Is(err, tunnel.ErrPeerLost)
			return o, false
		}
	}
}

// gapDeadline returns the read deadline for an event if the wait for it began at the
// given time. If it passes, another endpoint is tried. If no other endpoint may run the
// request, it is the request's deadline: silence alone doesn't end a stream.
func (a *attempt) gapDeadline(last time.Time) time.Time {
	return a.waitDeadline(last, max(minGapTimeout, gapFactor*a.route.Gap))
}

// forwardEvents writes events to the caller, preceded by the response header
// if it has not been sent and followed by the end of the body if the stream
// has ended. It returns false if the write failed.
func (a *attempt) forwardEvents(res *http1.Response, events []byte, ended bool) bool {
	var b []byte
	if !a.headerSent {
		b = forwardedResponseHeader(res)
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		b = endHeader(b, a.announcesClose())
		a.headerSent = true
	}
	if len(events) > 0 {
		b = appendChunk(b, events)
	}
	if ended {
		b = append(b, lastChunk...)
	}
	if len(b) > 0 && !a.exchange.writeToCaller(b) {
		return false
	}
	if id := lastEventID(events); id != "" {
		a.lastEvent = id
	}
	return true
}

// dropForwarded drops the leading events that the caller has already received.
// It compares numeric IDs and stops at the first event whose ID is not a number.
// If the ID of the last event that the caller has received is not a number, it
// drops nothing.
func (a *attempt) dropForwarded(events []byte) []byte {
	lastSeen, err := strconv.ParseInt(a.lastEvent, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		id, err := strconv.ParseInt(lastEventID(events[:end]), 10, 64)
		if err != nil || id > lastSeen {
			break
		}
		events = events[end:]
	}
	return events
}

// firstEventEnd returns the length of the first event including its empty
// line, or of all bytes if no event is complete.
func firstEventEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return len(b)
}

// completeEventsEnd returns the length of all complete events.
func completeEventsEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
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
