package peer

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

const callTimeout = time.Second

// call calls a method of a peer and waits for at most callTimeout. On any error it
// closes the connection, and the next call opens a new one.
func (m *Mesh) call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := m.client(ctx, addr)
	if err != nil {
		return err
	}
	err = conns.CallRPC(ctx, c, callTimeout, method, args, reply)
	if err != nil {
		m.dropClient(addr, c)
	}
	return errors.Annotatef(err, "%s at %s", method, addr)
}

// client returns the open connection to a peer, or opens one.
func (m *Mesh) client(ctx context.Context, addr string) (*rpc.Client, error) {
	m.mu.Lock()
	c, ok := m.clients[addr]
	m.mu.Unlock()
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: callTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c = rpc.NewClient(nc)
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.clients[addr]; ok {
		c.Close()
		return old, nil
	}
	m.clients[addr] = c
	return c, nil
}

// dropClient closes a connection and removes it from the open ones.
func (m *Mesh) dropClient(addr string, c *rpc.Client) {
	m.mu.Lock()
	if m.clients[addr] == c {
		delete(m.clients, addr)
	}
	m.mu.Unlock()
	c.Close()
}
