package pace

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// loadEngine works in iterations, as place assumes: each decodes one event of each decoding prompt
// and prefills what is queued.
type loadEngine struct {
	endpoint  *topol.Endpoint
	isStopped bool
	coldUntil time.Duration
	isBusy    bool
	parts     []*loadPart
	decoding  []*loadPrompt
	admitted  int
	waiting   []*loadPart
	// most is the largest number of prompts that it had at once since it was reset.
	most, has int
	// sentWhileCold is when it got prompts while it was cold.
	sentWhileCold []time.Duration
}

type loadPart struct {
	prompt     *loadPrompt
	tokens     float64
	isOwn      bool
	incarnated int
}

func (l *engineLoad) byName(n ident.EndpointName) *loadEngine {
	for _, e := range l.engines {
		if e.endpoint.Name == n {
			return e
		}
	}
	return nil
}

// iterate starts the next iteration of an engine.
func (l *engineLoad) iterate(e *loadEngine) {
	e.parts = slices.DeleteFunc(e.parts, func(q *loadPart) bool { return q.prompt.sends != q.incarnated })
	if e.isBusy || e.isStopped || len(e.parts)+len(e.decoding) == 0 {
		return
	}
	e.isBusy = true
	steps, t := 1, l.spec.StepTime
	if len(e.decoding) > 0 {
		steps = l.spec.DecodeSteps
		t += time.Duration(len(e.decoding)) * l.spec.PerSequence
		for _, p := range e.decoding {
			t += time.Duration(float64(p.flight.Prompt) / 1000 * float64(l.spec.PerThousandContext))
		}
		t *= time.Duration(steps)
	}
	var done []*loadPart
	budget := float64(steps) * float64(l.spec.PrefillChunk)
	var prefill time.Duration
	for budget > 0 && len(e.parts) > 0 {
		q := e.parts[0]
		n := min(q.tokens, budget)
		budget, q.tokens = budget-n, q.tokens-n
		prefill += time.Duration(n/l.spec.PrefillRate*float64(time.Second)) + time.Duration(n*float64(q.prompt.flight.Prompt)/2/1e6*float64(l.spec.PerMillionPairs))
		if q.tokens > 0 {
			break
		}
		done, e.parts = append(done, q), e.parts[1:]
	}
	if l.now < e.coldUntil {
		prefill = time.Duration(float64(prefill) * l.coldFactor)
	}
	l.after(t+prefill, func() { l.finish(e, done) })
}

// finish ends an iteration.
func (l *engineLoad) finish(e *loadEngine, done []*loadPart) {
	e.isBusy = false
	if e.isStopped {
		return
	}
	for _, p := range slices.Clone(e.decoding) {
		l.emit(p)
	}
	for _, q := range done {
		p := q.prompt
		if p.sends != q.incarnated {
			continue
		}
		if p.partsLeft--; p.partsLeft == 0 {
			p.engine.decoding = append(p.engine.decoding, p)
			l.answer(p)
			l.emit(p)
			l.iterate(p.engine)
		}
	}
	l.iterate(e)
}

// answer records the first event of a prompt.
func (l *engineLoad) answer(p *loadPrompt) {
	p.firstAt = l.now
	if !p.hasBeenServed && l.now-p.at > p.flight.Target {
		p.isLate = true
	}
	p.hasBeenServed = true
	key, sentAt := Key(p.engine.endpoint), p.sentAt
	l.nodes[p.node].slow.Answered(key, Answer{SentAt: l.nodes[p.node].at(sentAt), Target: p.flight.Target}, l.nodes[p.node].at(l.now))
	l.after(l.told, func() {
		for i, n := range l.nodes {
			if i != p.node {
				n.slow.Answered(key, Answer{SentAt: n.at(sentAt), Target: p.flight.Target, IsOfPeer: true}, n.at(l.now))
			}
		}
	})
}

// emit records an event of a prompt.
func (l *engineLoad) emit(p *loadPrompt) {
	if p.lastAt > 0 && l.now-p.lastAt > p.flight.Gap {
		p.isLate = true
	}
	p.lastAt = l.now
	if p.eventsLeft--; p.eventsLeft > 0 {
		return
	}
	r := &l.results[p.kind]
	r.served++
	if p.isLate {
		r.late++
	}
	l.leave(p)
}

// leave takes a prompt off its engine.
func (l *engineLoad) leave(p *loadPrompt) {
	e := p.engine
	p.endedAt = l.now
	e.decoding = slices.DeleteFunc(e.decoding, func(o *loadPrompt) bool { return o == p })
	e.has--
	if p.turn != nil {
		l.nodes[p.node].slow.Release(p.turn)
		p.turn = nil
	}
	e.admitted--
	if len(e.waiting) > 0 {
		e.admitted++
		e.parts, e.waiting = append(e.parts, e.waiting[0]), e.waiting[1:]
	}
}
