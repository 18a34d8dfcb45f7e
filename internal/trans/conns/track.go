package conns

import (
	"net"
	"sync"
)

// Tracker knows the connections that others opened, so that all can be closed
// at a stop. The zero value is ready; it is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Add notes an open connection.
func (t *Tracker) Add(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[net.Conn]struct{}{}
	}
	t.conns[c] = struct{}{}
}

// Remove forgets a connection.
func (t *Tracker) Remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// CloseAll closes the connections that are open.
func (t *Tracker) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.Close()
	}
}
