package share

import (
	"context"
	"net"
	"time"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// service holds the methods that peers call.
type service struct {
	mesh *Mesh
}

// Tell takes what a peer does.
func (s *service) Tell(u relay.Update, r *relay.UpdateReply) error {
	m := s.mesh
	m.hear(u.From)
	if u.Reset {
		r.Members = m.Members()
	}
	forwarded := u.Forwarded
	u.Forwarded = nil
	m.apply(&u)
	m.pass(u)
	for i := range forwarded {
		m.apply(&forwarded[i])
		m.pass(forwarded[i])
	}
	return nil
}

// apply takes the works of a node, and turns their ages into times.
func (m *Mesh) apply(u *relay.Update) {
	now := time.Now()
	if u.Reset {
		m.Works.RemoveNode(u.From.Name)
	}
	for i := range u.Began {
		n := &u.Began[i]
		n.Work.Since = now.Add(-n.Age)
		m.Works.Put(n.Work)
	}
	for _, id := range u.Wrote {
		m.Works.MarkDecoding(u.From.Name, id)
	}
	for _, id := range u.Done {
		m.Works.Remove(u.From.Name, id)
	}
	if len(u.Failed) > 0 {
		m.Failed(u.Failed)
	}
	var ss []strik.Strike
	for i := range u.Struck {
		u.Struck[i].Strike.At = now.Add(-u.Struck[i].Age)
		ss = append(ss, u.Struck[i].Strike)
	}
	if len(ss) > 0 {
		m.Struck(ss)
	}
}

// State answers what this node knows of the deployment.
func (s *service) State(a relay.StateArgs, r *relay.State) error {
	s.mesh.hear(a.From)
	*r = s.mesh.State(a)
	return nil
}

// Run answers peers until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	return conns.ServeRPC(ctx, l, "Node", &service{m})
}
