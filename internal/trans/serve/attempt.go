package serve

import (
	"context"
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Priorities of requests at an engine; lower values are served first.
const (
	shortPriority = 0
	longPriority  = 1
)

const (
	// suspectTokens is the number of received tokens after which an attempt no
	// longer counts among the suspects of its endpoint.
	suspectTokens = 16
	// suspectRetryPause is the pause before a suspect request looks again for
	// an endpoint without suspects.
	suspectRetryPause = 20 * time.Millisecond
	// cancelTries is the largest number of calls to cancel an attempt. Each is
	// bounded by cancelTimeout and, if it fails, followed by a pause of a tenth
	// of that.
	cancelTries   = 3
	cancelTimeout = time.Second
)

// attempt is one attempt to get an answer. It runs on one endpoint or, for a
// split prompt, on all engines of its reservation.
type attempt struct {
	id ident.RequestID
	// endpoint generates the answer; for a split prompt it is the primary
	// engine.
	endpoint    *table.Endpoint
	stream      messg.TokenStream
	started     time.Time
	watch       *watchdog
	reservation *reservation
	// suspect is set while the attempt is counted among the suspects of its
	// endpoint.
	suspect bool
	// tokens is the number of tokens received in this attempt.
	tokens int
}

// endpoints returns the endpoints that the attempt runs on.
func (t *attempt) endpoints() []*table.Endpoint {
	switch {
	case t == nil:
		return nil
	case t.reservation != nil:
		return t.reservation.engines
	default:
		return []*table.Endpoint{t.endpoint}
	}
}

// clearSuspect removes the attempt from the suspects of its endpoint.
func (t *attempt) clearSuspect() {
	if t.suspect {
		t.suspect = false
		t.endpoint.Suspects.Add(-1)
	}
}

// startAttempt starts the next attempt.
func (a *Answer) startAttempt() error {
	a.attempts++
	id := ident.RequestID(fmt.Sprintf("%s-%d", a.req.ID, a.attempts))
	if a.split {
		return a.startSplit(id)
	}
	e, err := a.nextEndpoint()
	if err != nil {
		return err
	}
	a.registerAttempt(&attempt{id: id, endpoint: e})
	s, err := a.core.Engine.Generate(a.ctx, e.Config().Address, a.generateRequest(id, ""))
	if err != nil {
		return err
	}
	a.attachStream(s)
	a.core.addHints(a.prompt, e.Name)
	return nil
}

// nextEndpoint returns the endpoint chosen at admission, or chooses one for a
// further attempt. A suspect request waits for an endpoint without suspects.
func (a *Answer) nextEndpoint() (*table.Endpoint, error) {
	if e := a.chosen; e != nil {
		a.chosen = nil
		return e, nil
	}
	a.routeReq.Suspect = a.suspected()
	for {
		cs := a.core.candidatesFor(a.req, a.prompt, a.routeReq.Suspect, a.excluded)
		ch, err := a.core.choose(cs, a.routeReq)
		if err == nil {
			return cs.endpoints[ch.Index], nil
		}
		if !a.routeReq.Suspect || !cs.anyReady() {
			return nil, err
		}
		// Presumably every ready endpoint runs another suspect request: wait
		// until one of these ends.
		if !delay.For(a.ctx, suspectRetryPause) {
			return nil, a.ctx.Err()
		}
	}
}

// registerAttempt makes an attempt the current one and counts it at its
// endpoint.
func (a *Answer) registerAttempt(t *attempt) {
	t.started = time.Now()
	a.current = t
	e := t.endpoint
	e.Calls.Add(1)
	if a.routeReq.Suspect {
		t.suspect = true
		e.Suspects.Add(1)
	}
	e.AddSent(a.prompt.Tokens, a.prompt.MaxTokens, a.routeReq.Short)
	a.core.recordEvent(trace.Chosen, a.req, "attempt %d at %s", a.attempts, e.Name)
}

// attachStream sets the stream of the current attempt, which an endpoint has
// accepted, and starts its watchdog.
func (a *Answer) attachStream(s messg.TokenStream) {
	a.mayHaveRun = true
	a.current.stream = s
	a.current.watch = a.startWatchdog(a.current)
}

func (a *Answer) generateRequest(id ident.RequestID, reservationID string) messg.GenerateRequest {
	g := messg.GenerateRequest{Request: id, Body: a.body, Priority: longPriority, ResumeAt: a.nextIndex, MaxTokens: a.prompt.MaxTokens, ReservationID: reservationID}
	if a.routeReq.Short {
		g.Priority = shortPriority
	}
	return g
}

// endAttempt ends the current attempt. With cancel set, it also cancels the
// attempt at the endpoint, unless there is no stream yet.
func (a *Answer) endAttempt(cancel bool) {
	t := a.current
	if t == nil {
		return
	}
	a.current = nil
	a.endpointTime += time.Since(t.started)
	t.endpoint.Calls.Add(-1)
	t.clearSuspect()
	if t.watch != nil {
		t.watch.stop()
	}
	if t.stream != nil {
		t.stream.Close()
	}
	if cancel && t.stream != nil {
		a.core.inBackground(func() { a.core.cancel(t) })
	}
	if t.reservation != nil {
		a.core.inBackground(t.reservation.end)
	}
}

// cancel cancels an attempt at its endpoint, which frees its memory there. It
// repeats a failed call, unless the endpoint is down.
func (c *Core) cancel(t *attempt) {
	for range cancelTries {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		err := c.Engine.Cancel(ctx, t.endpoint.Config().Address, t.id)
		stop()
		if err == nil || t.endpoint.State() == table.Down {
			return
		}
		time.Sleep(cancelTimeout / 10)
	}
}
