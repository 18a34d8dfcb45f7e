package conns

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

// Idle keeps connections that are not in use; the last one used is taken first.
// It is safe for concurrent use.
type Idle[C io.Closer] struct {
	mu sync.Mutex
	cs []C
}

// Take returns the last connection that is usable, and closes those after it.
func (i *Idle[C]) Take(usable func(C) bool) (c C, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.cs) > 0 {
		c = i.cs[len(i.cs)-1]
		i.cs = i.cs[:len(i.cs)-1]
		if usable(c) {
			return c, true
		}
		c.Close()
	}
	var none C
	return none, false
}

// Put keeps a connection, or closes it if there are as many as may be.
func (i *Idle[C]) Put(c C, most int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.cs) >= most {
		c.Close()
		return
	}
	i.cs = append(i.cs, c)
}

// Keep closes all connections that are not usable any more.
func (i *Idle[C]) Keep(usable func(C) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	kept := i.cs[:0]
	for _, c := range i.cs {
		if usable(c) {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	clear(i.cs[len(kept):])
	i.cs = kept
}

// Drop closes all connections.
func (i *Idle[C]) Drop() {
	i.mu.Lock()
	cs := i.cs
	i.cs = nil
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
