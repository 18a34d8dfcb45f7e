package peer

import (
	"context"
	"net"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// service holds the net/rpc methods that peers call. They are registered under
// the name Node.
type service struct {
	mesh *Mesh
}

// Beat processes a peer's heartbeat and answers with one.
func (s *service) Beat(h messg.Heartbeat, r *messg.Heartbeat) error {
	s.mesh.receive(h)
	*r = s.mesh.newHeartbeat()
	return nil
}

// Config answers with this node's configuration.
func (s *service) Config(_ messg.ConfigArgs, r *messg.ConfigReply) error {
	*r = s.mesh.ConfigReply()
	return nil
}

// Strike records strikes and proofs announced by a peer.
func (s *service) Strike(a messg.StrikeArgs, _ *messg.Empty) error {
	s.mesh.Clock.Observe(a.Stamp)
	if len(a.Strikes) > 0 {
		s.mesh.MergeStrikes(a.Strikes)
	}
	if len(a.Proofs) > 0 {
		s.mesh.MergeProofs(a.Proofs)
	}
	if len(a.Trials) > 0 {
		s.mesh.MergeTrials(a.Trials)
	}
	return nil
}

// serve answers peers until the context ends.
func (m *Mesh) serve(ctx context.Context, l net.Listener) error {
	return conns.ServeRPC(ctx, conns.Patient(l, m.Logger, nil), "Node", &service{m})
}
