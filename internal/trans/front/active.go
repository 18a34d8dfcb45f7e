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
	// bodyRetryAfter is the Retry-After of a request that was rejected because
	// there was no memory for its body.
	bodyRetryAfter = time.Second
)

// activeRequests holds the requests in flight. It cancels those whose callers
// closed their connections, even while nothing is being sent to them.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

type activeRequest struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func (g *activeRequests) add(c net.Conn, cancel context.CancelFunc) *activeRequest {
	e := &activeRequest{c, cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requests == nil {
		g.requests = map[*activeRequest]struct{}{}
	}
	g.requests[e] = struct{}{}
	return e
}

func (g *activeRequests) remove(e *activeRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, e)
}

func (g *activeRequests) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

func (g *activeRequests) all() []*activeRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	es := make([]*activeRequest, 0, len(g.requests))
	for e := range g.requests {
		es = append(es, e)
	}
	return es
}

// cancelGone checks the callers' connections until the context ends, and
// cancels the requests of those that are closed.
func (g *activeRequests) cancelGone(ctx context.Context) {
	delay.Every(ctx, goneCheckInterval, func(time.Time) {
		for _, e := range g.all() {
			if !conns.IsOpen(e.conn) {
				e.cancel()
			}
		}
	})
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
