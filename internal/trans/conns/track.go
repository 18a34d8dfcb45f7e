package conns

import (
	"net"
	"sync"
)

// Tracker knows the connections that others opened, so that all can be closed
// at a stop. The zero value is ready; it is safe for concurrent use.
type Tracker struct {
	mu  sync.Mutex
	set map[net.Conn]struct{}
}

// Add notes an open connection.
func (t *Tracker) Add(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.set == nil {
		t.set = map[net.Conn]struct{}{}
	}
	t.set[c] = struct{}{}
}

// Remove forgets a connection.
func (t *Tracker) Remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.set, c)
}

// CloseAll closes the connections that are open.
func (t *Tracker) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.set {
		c.Close()
	}
}
