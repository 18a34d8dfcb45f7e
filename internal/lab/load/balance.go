package load

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// ErrNoNode means that no node was ready at the last probe.
const ErrNoNode = errors.ConstError("no node is ready")

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer stands in for the platform's load balancer: it distributes requests in
// turn over the nodes whose readiness check succeeds. Pools must be set.
type Balancer struct {
	Pools *conns.Pools

	mu    sync.Mutex
	addrs []string
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

// Set replaces the addresses of the nodes.
func (b *Balancer) Set(addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs = slices.Clone(addrs)
}

// Run probes the nodes until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.Probe(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// Probe checks the readiness of each node once.
func (b *Balancer) Probe(ctx context.Context) {
	b.mu.Lock()
	addrs := slices.Clone(b.addrs)
	b.mu.Unlock()
	isReady := make([]bool, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() { isReady[i] = b.isReady(ctx, a) })
	}
	wg.Wait()
	var ready []string
	for i, a := range addrs {
		if isReady[i] {
			ready = append(ready, a)
		}
	}
	b.ready.Store(&ready)
}

func (b *Balancer) isReady(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/readyz")
	req.Header.SetHost(addr)
	r, err := b.Pools.Get(addr).Do(ctx, conns.Call{Request: req, Fresh: true})
	if err != nil {
		return false
	}
	defer r.Close()
	return r.Status == fasthttp.StatusOK
}

// Pick returns the address of the next ready node, or ErrNoNode.
func (b *Balancer) Pick() (string, error) {
	r := b.ready.Load()
	if r == nil || len(*r) == 0 {
		return "", ErrNoNode
	}
	return (*r)[b.next.Add(1)%uint64(len(*r))], nil
}
