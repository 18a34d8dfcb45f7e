package conns

import (
	"net"
	"sync"
)

// Tracker keeps track of accepted connections, so that all can be closed at
// shutdown. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Add adds an open connection.
func (t *Tracker) Add(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[net.Conn]struct{}{}
	}
	t.conns[c] = struct{}{}
}

// Remove removes a connection, without closing it.
func (t *Tracker) Remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// CloseAll closes all tracked connections.
func (t *Tracker) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.Close()
	}
}
