package passes

import (
	"container/heap"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// visibleRequests returns the in-flight requests as a node sees them now. The node
// sees changes of its own requests at once, of other nodes' requests after
// UpdateDelay.
func (s *simulation) visibleRequests(node int) []works.Request {
	s.active = slices.DeleteFunc(s.active, func(q *prompt) bool { return q.endedAt > 0 && q.endedAt+s.UpdateDelay < s.now })
	var ws []works.Request
	for _, q := range s.active {
		delay := s.UpdateDelay
		if q.node == node {
			delay = 0
		}
		if q.attemptAt+delay > s.now || q.endedAt > 0 && q.endedAt+delay <= s.now {
			continue
		}
		w := q.inFlight
		w.Writing = q.firstEventAt > 0 && q.firstEventAt+delay <= s.now
		ws = append(ws, w)
	}
	return ws
}

// placePrompt chooses the engines of a prompt and sends it to them, or refuses
// the prompt.
func (s *simulation) placePrompt(q *prompt, answerEvents int) {
	res := &s.results[q.kindIndex]
	if !q.isRetry {
		res.Requests++
		res.MaxCredit += q.kind.Credit * q.creditWeight()
	}
	waited := s.now - q.arrivedAt
	output := ident.Tokens(answerEvents * s.Engine.DecodeSteps)
	never := func(ident.EndpointName) bool { return false }
	request := place.Request{
		Prompt: q.tokens, Output: output, Target: max(time.Millisecond, q.kind.Target-waited), Gap: q.kind.Gap,
		TimeLeft: q.kind.Deadline - waited, IsRetry: q.isRetry,
	}
	c, err := s.decide(place.ServiceState{
		Now: origin.Add(s.now), Endpoints: s.endpoints, Engine: s.Engine, InFlight: s.visibleRequests(q.node),
		Avoid: never, Suspect: never, Random: s.rnd.Float64,
	}, q, request)
	if err != nil {
		s.retryOrRefuse(q, place.RetryAfter(c, request), answerEvents)
		return
	}
	q.estimate, q.waits = c.Estimate, c.Waits
	q.inFlight = s.placedRequest(c, request)
	s.active = append(s.active, q)
	s.placed = append(s.placed, q)
	s.dispatch(q, answerEvents)
}

// placedRequest returns a request at the chosen engines, as nodes see it.
func (s *simulation) placedRequest(c place.Choice, r place.Request) works.Request {
	w := works.Request{
		First: c.Primary.Name, Prompt: r.Prompt, Share: r.Prompt, Output: r.Output,
		Gap: r.Gap, Target: r.Target, Since: origin.Add(s.now),
	}
	for i, h := range c.Helpers {
		w.Helpers = append(w.Helpers, h.Name)
		if i < len(c.Reservations) {
			w.Held = append(w.Held, works.Reservation{Endpoint: h.Name, Tokens: c.Reservations[i]})
			w.Share -= c.Reservations[i]
		}
	}
	return w
}

// retryOrRefuse schedules a retry of a refused prompt. If the refused attempt was
// already the retry, or if the retry would come after half of the deadline, the
// prompt counts as refused.
func (s *simulation) retryOrRefuse(q *prompt, after time.Duration, answerEvents int) {
	if q.isRetry || after >= q.kind.Deadline/2 {
		s.results[q.kindIndex].Refused++
		return
	}
	q.isRetry = true
	q.attemptAt = s.now + after
	heap.Push(&s.events, simEvent{at: q.attemptAt, prompt: q, answerEvents: answerEvents})
}

// dispatch splits a prompt into equal parts and queues them at its engines.
func (s *simulation) dispatch(q *prompt, answerEvents int) {
	n := float64(len(q.inFlight.Helpers) + 1)
	tokens := float64(q.tokens)
	ex := &execution{prompt: q, primary: s.engines[q.inFlight.First], partsLeft: int(n), eventsLeft: answerEvents}
	newPart := func(onPrimary bool) *promptPart {
		return &promptPart{execution: ex, onPrimary: onPrimary, tokensLeft: tokens / n, pairsPerToken: tokens / 2 / 1e6}
	}
	ex.primary.admit(ex, newPart(true))
	s.startNext(ex.primary)
	for _, h := range q.inFlight.Helpers {
		e := s.engines[h]
		e.enqueue(newPart(false))
		s.startNext(e)
	}
}
