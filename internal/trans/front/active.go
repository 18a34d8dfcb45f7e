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
	// goneCheckInterval is the time between two checks of the callers'
	// connections.
	goneCheckInterval = 500 * time.Millisecond
	bodyRetryAfter    = time.Second
)

// registry holds the requests in flight. It notices callers that closed their
// connection, even while their requests wait.
type registry struct {
	mu      sync.Mutex
	entries map[*activeRequest]struct{}
}

type activeRequest struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func (g *registry) add(c net.Conn, cancel context.CancelFunc) *activeRequest {
	e := &activeRequest{c, cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.entries == nil {
		g.entries = map[*activeRequest]struct{}{}
	}
	g.entries[e] = struct{}{}
	return e
}

func (g *registry) remove(e *activeRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.entries, e)
}

func (g *registry) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.entries)
}

func (g *registry) all() []*activeRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	es := make([]*activeRequest, 0, len(g.entries))
	for e := range g.entries {
		es = append(es, e)
	}
	return es
}

// cancelGone checks the callers' connections until the context ends, and
// cancels the requests of those that are closed.
func (g *registry) cancelGone(ctx context.Context) {
	delay.Every(ctx, goneCheckInterval, func(time.Time) {
		for _, e := range g.all() {
			if !conns.IsOpen(e.conn) {
				e.cancel()
			}
		}
	})
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
