package peer

import (
	"context"
	"net"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// service holds the methods that peers call.
type service struct {
	mesh *Mesh
}

// Beat takes a heartbeat and answers with one.
func (s *service) Beat(b messg.Heartbeat, r *messg.Heartbeat) error {
	s.mesh.heard(b)
	*r = s.mesh.beat()
	return nil
}

// Config answers with this node's configuration.
func (s *service) Config(_ messg.ConfigArgs, r *messg.ConfigReply) error {
	*r = s.mesh.Snapshot()
	return nil
}

// Strike takes new strikes.
func (s *service) Strike(a messg.StrikeArgs, _ *messg.Empty) error {
	s.mesh.Clock.Observe(a.Stamp)
	s.mesh.Struck(a.Strikes)
	return nil
}

// serve answers peers until the context ends.
func (m *Mesh) serve(ctx context.Context, l net.Listener) error {
	return conns.ServeRPC(ctx, l, "Node", &service{m})
}
