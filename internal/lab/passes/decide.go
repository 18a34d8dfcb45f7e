package passes

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/vqueue"
	"laburnumstack.org/laburnum/pkg/ident"
)

// sharedDecisions holds the nodes' decisions on prompts that may be deferred. All nodes
// get to know a decision after a delay.
type sharedDecisions struct {
	table bysize.Table
	queue vqueue.Queue
	// sent are the decisions that the nodes do not know yet, oldest first.
	sent []sentDecision
}

// sentDecision is a decision with the work that one engine has with the prompt.
type sentDecision struct {
	bysize.Decision
	work time.Duration
}

// receive records the decisions that the nodes know now. delay is the time until they know
// one.
func (d *sharedDecisions) receive(now time.Time, delay time.Duration) {
	for len(d.sent) > 0 && now.Sub(d.sent[0].At) >= delay {
		b := d.sent[0]
		d.sent = d.sent[1:]
		d.table.Record(b.Decision)
		p := vqueue.Prompt{Request: b.Request, Workspace: b.Workspace, Work: b.work}
		switch {
		case b.Admitted:
			d.queue.Admit(p, b.At, now)
		case b.Retry > 0:
			d.queue.Defer(p, b.At, b.Retry, now)
		default:
			d.queue.Drop(b.Request, b.At, now)
		}
	}
}

// decide chooses the engines of a prompt. If it is refused, the time is that after which its
// caller should retry.
func (s *simulation) decide(state place.ServiceState, q *prompt, r place.Request) (place.Choice, time.Duration, error) {
	if !place.IsDeferrable(s.Engine, r) {
		c, err := s.Choose(state, r)
		return c, place.RetryAfter(c, r), err
	}
	d := &s.decisions
	d.receive(state.Now, s.UpdateDelay)
	r.Favour = d.table.Favour(ident.RouteName(q.kind.Name), q.tokens, state.Now)
	p := vqueue.Prompt{Request: q.key, Workspace: q.workspace, Work: place.PrefillTime(s.Engine, q.tokens)}
	if !s.WithoutQueue {
		r.KeepsPlace = d.queue.Find(q.key, state.Now) == vqueue.KeptPlace
		r.Yield = d.queue.DueShare(s.EngineCount, state.Now)
	}
	c, err := s.Choose(state, r)
	b := bysize.Decision{Route: ident.RouteName(q.kind.Name), Request: q.key, Prompt: q.tokens, Admitted: err == nil, At: state.Now, Workspace: q.workspace}
	after := place.RetryAfter(c, r)
	if errors.Is(err, place.ErrDeferred) && !s.WithoutQueue {
		l := vqueue.Load{Engines: s.EngineCount, Estimate: c.Estimate, TimeLeft: r.TimeLeft, Target: r.Target, Favour: c.Load.Favour}
		var servable bool
		after, servable = d.queue.RetryTime(p, l, state.Now)
		if servable {
			b.Retry = after
		}
	}
	d.sent = append(d.sent, sentDecision{b, p.Work})
	return c, after, err
}
