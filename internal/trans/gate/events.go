package gate

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// Errors of the events of a resumed stream.
const (
	errMissingEvents = errors.ConstError("events are missing after the last one forwarded")
	errUnnumbered    = errors.ConstError("an event has no number")
)

// position is how far a caller has received a stream. The numbers of a stream's events
// increase.
type position struct {
	// lastID is the ID of the last event that has one; the caller's own if none was
	// forwarded yet.
	lastID string
	// isUnknown is set if the last event forwarded has no number.
	isUnknown bool
	// hasGaps is set if the numbers of the events forwarded don't follow one by one.
	hasGaps bool
	// begun is set once an event was forwarded.
	begun bool
}

// advance records that events were forwarded.
func (p *position) advance(events []byte) {
	for len(events) > 0 {
		n := firstEventEnd(events)
		p.advanceOver(events[:n])
		events = events[n:]
	}
}

func (p *position) advanceOver(event []byte) {
	id := lastEventID(event)
	if id == "" && !hasData(event) {
		return
	}
	before, isNumbered := p.number()
	if id != "" {
		p.lastID = id
	}
	number, err := strconv.ParseInt(id, 10, 64)
	p.isUnknown = err != nil
	if p.begun && isNumbered && number != before+1 {
		p.hasGaps = true
	}
	p.begun = true
}

// number returns the number of the last event, and whether it is known.
func (p *position) number() (int64, bool) {
	n, err := strconv.ParseInt(p.lastID, 10, 64)
	return n, err == nil && !p.isUnknown
}

// isResumable reports whether another run can go on after the last event forwarded.
func (p *position) isResumable() bool {
	_, ok := p.number()
	return ok || !p.begun
}

// continued returns those of a run's events that go on after the last event forwarded, up to
// the first one that does not follow it, and advances over them. It reuses the memory of
// events. repeatsLast is set if the last of the events is the last one forwarded before.
func (p *position) continued(events []byte) (next []byte, repeatsLast bool, err error) {
	next = events[:0]
	for len(events) > 0 {
		n := firstEventEnd(events)
		event := events[:n]
		events = events[n:]
		id := lastEventID(event)
		if id == "" && !hasData(event) {
			continue
		}
		number, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return next, false, errUnnumbered
		}
		last, isKnown := p.number()
		repeatsLast = isKnown && number == last
		if isKnown && number <= last {
			continue
		}
		if p.begun && !p.hasGaps && number != last+1 {
			return next, false, errMissingEvents
		}
		p.advance(event)
		next = append(next, event...)
	}
	return next, repeatsLast, nil
}

// withoutForwarded drops the leading events that the caller has already received. It compares
// numeric IDs and stops at the first event whose ID is not a number. If the ID of the
// last event that the caller has received is not a number, it drops nothing.
func (p *position) withoutForwarded(events []byte) []byte {
	last, ok := p.number()
	if !ok {
		return events
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		id, err := strconv.ParseInt(lastEventID(events[:end]), 10, 64)
		if err != nil || id > last {
			break
		}
		events = events[end:]
	}
	return events
}

// hasData reports whether an event has a data field. One without is a comment.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
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
