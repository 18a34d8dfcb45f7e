// Package tally counts the requests in flight of each workspace, on this node and
// on the other nodes.
package tally

import (
	"sync"
	"sync/atomic"

	"laburnumstack.org/laburnum/pkg/ident"
)

// InFlight counts requests in flight and their prompt tokens.
type InFlight struct {
	Requests int64
	Tokens   ident.Tokens
}

func (f *InFlight) add(o InFlight) {
	f.Requests += o.Requests
	f.Tokens += o.Tokens
}

type counter struct {
	requests, tokens atomic.Int64
}

func (c *counter) load() InFlight {
	return InFlight{c.requests.Load(), ident.Tokens(c.tokens.Load())}
}

// Tally counts the requests in flight. The zero value is ready for use, and a
// Tally is safe for concurrent use.
type Tally struct {
	own sync.Map // WorkspaceName to *counter
	// others sums the counts of the other nodes. It is replaced as a whole at
	// each heartbeat of one of them.
	others atomic.Pointer[map[ident.WorkspaceName]InFlight]
	// mu guards peers, the counts of each of the other nodes.
	mu    sync.Mutex
	peers map[ident.NodeName]map[ident.WorkspaceName]InFlight
}

// Begin counts a request with n prompt tokens. The returned function must be
// called when the request ends; calls after the first have no effect.
func (t *Tally) Begin(w ident.WorkspaceName, n ident.Tokens) (end func()) {
	v, _ := t.own.LoadOrStore(w, &counter{})
	c := v.(*counter)
	c.requests.Add(1)
	c.tokens.Add(int64(n))
	var once sync.Once
	return func() {
		once.Do(func() {
			c.requests.Add(-1)
			c.tokens.Add(-int64(n))
		})
	}
}

// Own returns this node's counts of the workspaces with requests in flight.
func (t *Tally) Own() map[ident.WorkspaceName]InFlight {
	m := map[ident.WorkspaceName]InFlight{}
	t.own.Range(func(k, v any) bool {
		if count := v.(*counter).load(); count.Requests > 0 {
			m[k.(ident.WorkspaceName)] = count
		}
		return true
	})
	return m
}

// SetPeer replaces the counts of another node. Nil removes the node.
func (t *Tally) SetPeer(n ident.NodeName, counts map[ident.WorkspaceName]InFlight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[ident.NodeName]map[ident.WorkspaceName]InFlight{}
	}
	if counts == nil {
		delete(t.peers, n)
	} else {
		t.peers[n] = counts
	}
	sum := map[ident.WorkspaceName]InFlight{}
	for _, p := range t.peers {
		for w, count := range p {
			s := sum[w]
			s.add(count)
			sum[w] = s
		}
	}
	t.others.Store(&sum)
}

// TotalOf returns the count of a workspace on all nodes.
func (t *Tally) TotalOf(w ident.WorkspaceName) InFlight {
	var total InFlight
	if v, ok := t.own.Load(w); ok {
		total = v.(*counter).load()
	}
	if o := t.others.Load(); o != nil {
		total.add((*o)[w])
	}
	return total
}

// Totals returns the counts of all workspaces on all nodes.
func (t *Tally) Totals() map[ident.WorkspaceName]InFlight {
	m := t.Own()
	if o := t.others.Load(); o != nil {
		for w, count := range *o {
			s := m[w]
			s.add(count)
			m[w] = s
		}
	}
	return m
}
