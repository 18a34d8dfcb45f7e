package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"laburnumstack.org/laburnum/internal/proto/messg"
)

// service holds the methods that peers call.
type service struct {
	mesh *Mesh
}

// Beat takes a heartbeat and answers with one.
func (s *service) Beat(b messg.Beat, r *messg.Beat) error {
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
	srv := rpc.NewServer()
	if err := srv.RegisterName("Node", &service{m}); err != nil {
		return err
	}
	open := &openConns{set: map[net.Conn]struct{}{}}
	stop := context.AfterFunc(ctx, func() { l.Close(); open.closeAll() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		open.add(c)
		go func() {
			defer open.remove(c)
			srv.ServeConn(c)
		}()
	}
}

// openConns are the connections that peers opened.
type openConns struct {
	mu  sync.Mutex
	set map[net.Conn]struct{}
}

func (o *openConns) add(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.set[c] = struct{}{}
}

func (o *openConns) remove(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.set, c)
}

func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.set {
		c.Close()
	}
}
