package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/pkg/ident"
)

// sharedDecisions holds the nodes' decisions on prompts that may be deferred. All nodes
// get to know a decision after a delay.
type sharedDecisions struct {
	table bysize.Table
	// sent are the decisions that the nodes do not know yet, oldest first.
	sent []bysize.Decision
}

func (d *sharedDecisions) add(q *prompt, admitted bool, now time.Time) {
	d.sent = append(d.sent, bysize.Decision{Route: ident.RouteName(q.kind.Name), Request: q.key, Prompt: q.tokens, Admitted: admitted, At: now})
}

// favour returns place.Request.Favour for a prompt. delay is the time until the nodes
// know a decision.
func (d *sharedDecisions) favour(q *prompt, now time.Time, delay time.Duration) float64 {
	for len(d.sent) > 0 && now.Sub(d.sent[0].At) >= delay {
		d.table.Record(d.sent[0])
		d.sent = d.sent[1:]
	}
	return d.table.Favour(ident.RouteName(q.kind.Name), q.tokens, now)
}

// decide chooses the engines of a prompt.
func (s *simulation) decide(state place.ServiceState, q *prompt, r place.Request) (place.Choice, error) {
	if !place.IsDeferrable(s.Engine, r) {
		return s.Choose(state, r)
	}
	r.Favour = s.decisions.favour(q, state.Now, s.UpdateDelay)
	c, err := s.Choose(state, r)
	s.decisions.add(q, err == nil, state.Now)
	return c, err
}
