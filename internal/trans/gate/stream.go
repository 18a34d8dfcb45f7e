package gate

import (
	"io"
	"slices"
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
)

// Errors of a stream whose body ended.
const (
	errLongEvent   = errors.ConstError("event is too long")
	errPartOfEvent = errors.ConstError("the body ended within an event")
	errNoEvents    = errors.ConstError("the body ended without an event after the last one forwarded")
)

// eventReader reads the events of one run of a stream, and decides whether its end is that of
// the stream.
type eventReader struct {
	body io.Reader
	// takeMemory is called before the buffer grows by a number of bytes. Its error ends the
	// stream.
	takeMemory func(int64) error
	// isResumed is set if the caller has got a part of the stream from an earlier run,
	// isFramed if more than the end of the connection marks the end of the body.
	isResumed, isFramed bool
	// position is that of the caller once the events returned have been forwarded.
	position position

	// buf holds what was read. The last read returned events of its first returned bytes.
	buf      []byte
	returned int
	// hasEvents is set once an event has arrived, hasNext once one that the caller had not
	// got yet. repeatsLast is set if the last one that arrived is the last one that the
	// caller had got.
	hasEvents, hasNext, repeatsLast bool
	// arrivedAt is when the last events arrived, partSince when the wait for the rest of
	// the next one began.
	arrivedAt, partSince time.Time
}

func (a *attempt) newEventReader(res *http1.Response) eventReader {
	return eventReader{
		body:       a.newBodyReader(res),
		takeMemory: a.takeMemory,
		isResumed:  a.isResumed, isFramed: res.Framing != http1.UntilClose,
		position: a.resumesAt,
		buf:      make([]byte, 0, initialStreamBuffer),
	}
}

// waitsSince returns when the wait for the rest of the next event began.
func (r *eventReader) waitsSince() time.Time {
	if !r.hasPart() {
		r.partSince = time.Now()
	}
	return r.partSince
}

// hasPart reports whether a part of an event waits for its rest.
func (r *eventReader) hasPart() bool { return len(r.buf) > r.returned }

// read reads once. It returns the events to forward, which are valid until the next call. The
// error is io.EOF at the end of a complete stream.
func (r *eventReader) read() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.returned:]...)
	r.returned = 0
	if len(r.buf) == cap(r.buf) {
		if len(r.buf) >= maxEventSize {
			return nil, errLongEvent
		}
		if err := r.takeMemory(int64(cap(r.buf))); err != nil {
			return nil, err
		}
		r.buf = slices.Grow(r.buf, cap(r.buf))
	}
	n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.returned = completeEventsEnd(r.buf)
	events, errOfEvents := r.next(r.buf[:r.returned])
	switch {
	case errOfEvents != nil:
		return events, errOfEvents
	case err == io.EOF:
		return events, r.checkEnd()
	}
	return events, err
}

// next returns those of the events that arrived that go on after the last one forwarded.
func (r *eventReader) next(arrived []byte) (events []byte, err error) {
	if len(arrived) == 0 {
		return nil, nil
	}
	r.hasEvents = true
	if r.isResumed {
		events, r.repeatsLast, err = r.position.continued(arrived)
	} else {
		events = r.position.withoutForwarded(arrived)
		r.position.advance(events)
	}
	r.hasNext = r.hasNext || len(events) > 0
	return events, err
}

// checkEnd returns io.EOF if the stream is complete at the end of the body, and otherwise why
// it is not. An endpoint that resumes a stream shows that the last event forwarded was its
// last one only if it repeats that event; one that sends nothing may have lost the rest.
func (r *eventReader) checkEnd() error {
	switch {
	case !r.isFramed && (r.hasPart() || !r.hasEvents):
		return io.ErrUnexpectedEOF
	case r.hasPart():
		return errPartOfEvent
	case r.isResumed && !r.hasNext && !(r.isFramed && r.repeatsLast):
		return errNoEvents
	}
	return io.EOF
}

// readFirstEvents reads the answer up to the first events that can be passed on. It returns
// false if there are none.
func (a *attempt) readFirstEvents() bool {
	for {
		a.readEvents()
		if len(a.answer.next) > 0 || a.answer.err == io.EOF {
			return true
		}
		if a.answer.err != nil {
			a.failStream()
			return false
		}
	}
}

// readEvents reads once from the stream.
func (a *attempt) readEvents() {
	r, o := a.answer.events, &a.outcome
	if r.hasEvents {
		a.wait.continueAt(r.waitsSince(), a.gapWait())
		a.setReadDeadline()
	}
	isFirst := !r.hasEvents
	a.answer.next, a.answer.err = r.read()
	if len(r.buf) > 0 {
		a.hear()
	}
	if r.returned == 0 {
		return
	}
	now := time.Now()
	if isFirst {
		o.timeToFirst = now.Sub(a.startedAt)
		a.server.InFlight.MarkDecoding(a.server.Node, a.inFlightID)
		a.server.AnnounceDecoding(a.inFlightID)
		if a.reserved != nil {
			a.reserved.markUsed()
		}
	} else {
		o.maxGap = max(o.maxGap, now.Sub(r.arrivedAt))
	}
	r.arrivedAt, r.partSince = now, now
}

// relayStream passes each event on to the caller as soon as it is complete. A
// stream that ends early can therefore be resumed at another endpoint after the
// last event that was passed on.
func (a *attempt) relayStream() {
	r, o := a.answer.events, &a.outcome
	for ; a.exchange.next == nil; a.readEvents() {
		if err := a.answer.err; len(a.answer.next) > 0 || err == io.EOF {
			a.goesOn()
			if err == io.EOF {
				a.releaseTurn()
			}
			if !a.forwardEvents(a.answer.head, a.answer.next, err == io.EOF) {
				o.result, o.reason = complete, "caller left"
				return
			}
			a.exchange.position = r.position
		}
		switch err := a.answer.err; {
		case err == io.EOF:
			o.result, o.isWholeAnswer, o.whole, o.framed = complete, true, true, r.isFramed
			a.answer.isIntact = !a.answer.head.Close
			return
		case err != nil:
			a.failStream()
			return
		}
	}
}

// failStream sets the outcome of a send whose stream ended early.
func (a *attempt) failStream() {
	o, err := &a.outcome, a.readError(a.answer.err)
	if errors.Is(err, errNoEvents) || errors.Is(err, errMissingEvents) || errors.Is(err, errUnnumbered) {
		o.result, o.reason = unusable, err.Error()
		return
	}
	o.flooded = a.isFlood(err)
	o.result, o.connBroken, o.timedOut, o.reason = unanswered, isConnBroken(err), isTimeout(err), "stream truncated: "+err.Error()
	o.peerLost = errors.Is(err, tunnel.ErrPeerLost)
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
	return true
}
