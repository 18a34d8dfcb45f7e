package conns

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

// IdleList holds idle connections. The last one added is taken first. It is safe
// for concurrent use.
type IdleList[C io.Closer] struct {
	mu    sync.Mutex
	conns []C
}

// Take removes and returns the last added connection that is usable. It closes
// the unusable ones that were added after it.
func (i *IdleList[C]) Take(usable func(C) bool) (c C, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.conns) > 0 {
		c = i.conns[len(i.conns)-1]
		i.conns = i.conns[:len(i.conns)-1]
		if usable(c) {
			return c, true
		}
		c.Close()
	}
	var none C
	return none, false
}

// Put adds a connection, or closes it if the list already holds limit
// connections.
func (i *IdleList[C]) Put(c C, limit int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.conns) >= limit {
		c.Close()
		return
	}
	i.conns = append(i.conns, c)
}

// Prune closes and removes all connections that are no longer usable.
func (i *IdleList[C]) Prune(usable func(C) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	kept := i.conns[:0]
	for _, c := range i.conns {
		if usable(c) {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	clear(i.conns[len(kept):])
	i.conns = kept
}

// CloseAll closes and removes all connections.
func (i *IdleList[C]) CloseAll() {
	i.mu.Lock()
	conns := i.conns
	i.conns = nil
	i.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Reusable reports whether a connection can carry another request after the last
// response on it was read completely. It clears the deadlines of the connection.
func Reusable(c net.Conn, r *bufio.Reader) bool {
	return r.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
}
