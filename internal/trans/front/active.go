package front

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	// goneCheck is how often the connections of callers are checked.
	goneCheck = 500 * time.Millisecond
	bodyRetry = time.Second
)

// registry holds the requests in flight. Callers that closed their connection
// are noticed even while their requests wait.
type registry struct {
	mu  sync.Mutex
	set map[*entry]struct{}
}

type entry struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func (g *registry) add(c net.Conn, cancel context.CancelFunc) *entry {
	e := &entry{c, cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.set == nil {
		g.set = map[*entry]struct{}{}
	}
	g.set[e] = struct{}{}
	return e
}

func (g *registry) remove(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.set, e)
}

func (g *registry) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.set)
}

func (g *registry) all() []*entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	es := make([]*entry, 0, len(g.set))
	for e := range g.set {
		es = append(es, e)
	}
	return es
}

// watch cancels the requests of callers that are gone.
func (g *registry) watch(ctx context.Context) {
	delay.Every(ctx, goneCheck, func(time.Time) {
		for _, e := range g.all() {
			if !conns.IsOpen(e.conn) {
				e.cancel()
			}
		}
	})
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
