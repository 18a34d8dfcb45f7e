package conns

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

// IdleList keeps connections that are not in use; the last one used is taken first.
// It is safe for concurrent use.
type IdleList[C io.Closer] struct {
	mu    sync.Mutex
	conns []C
}

// Take returns the last connection that is usable, and closes those after it.
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

// Put keeps a connection, or closes it if there are as many as may be.
func (i *IdleList[C]) Put(c C, most int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.conns) >= most {
		c.Close()
		return
	}
	i.conns = append(i.conns, c)
}

// Prune closes all connections that are not usable any more.
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

// CloseAll closes all connections.
func (i *IdleList[C]) CloseAll() {
	i.mu.Lock()
	cs := i.conns
	i.conns = nil
	i.mu.Unlock()
	for _, c := range cs {
		c.Close()
	}
}

// Reusable reports whether a connection whose last answer was read to its end
// can carry another request. It ends the connection's deadlines.
func Reusable(c net.Conn, r *bufio.Reader) bool {
	return r.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
}
