// Package tally counts the requests in flight by workspace, here and at the
// other nodes.
package tally

import (
	"sync"
	"sync/atomic"

	"laburnumstack.org/laburnum/pkg/ident"
)

// InFlight is what is in flight.
type InFlight struct {
	Requests int64
	Tokens   ident.Tokens
}

func (u *InFlight) add(o InFlight) {
	u.Requests += o.Requests
	u.Tokens += o.Tokens
}

type counter struct {
	requests, tokens atomic.Int64
}

func (c *counter) load() InFlight {
	return InFlight{c.requests.Load(), ident.Tokens(c.tokens.Load())}
}

// Tally counts. The zero value is ready; it is safe for concurrent use.
type Tally struct {
	own sync.Map // WorkspaceName to *counter
	// others is replaced as a whole at each heartbeat.
	others atomic.Pointer[map[ident.WorkspaceName]InFlight]
	mu     sync.Mutex
	peers  map[ident.NodeName]map[ident.WorkspaceName]InFlight
}

// Begin counts a request; the returned function ends it and is idempotent.
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

// Own returns this node's counts that are not zero.
func (t *Tally) Own() map[ident.WorkspaceName]InFlight {
	m := map[ident.WorkspaceName]InFlight{}
	t.own.Range(func(k, v any) bool {
		if u := v.(*counter).load(); u.Requests > 0 {
			m[k.(ident.WorkspaceName)] = u
		}
		return true
	})
	return m
}

// SetPeer replaces the counts of another node; nil removes it.
func (t *Tally) SetPeer(n ident.NodeName, uses map[ident.WorkspaceName]InFlight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[ident.NodeName]map[ident.WorkspaceName]InFlight{}
	}
	if uses == nil {
		delete(t.peers, n)
	} else {
		t.peers[n] = uses
	}
	sum := map[ident.WorkspaceName]InFlight{}
	for _, p := range t.peers {
		for w, u := range p {
			s := sum[w]
			s.add(u)
			sum[w] = s
		}
	}
	t.others.Store(&sum)
}

// TotalOf returns the counts of one workspace over all nodes.
func (t *Tally) TotalOf(w ident.WorkspaceName) InFlight {
	var u InFlight
	if v, ok := t.own.Load(w); ok {
		u = v.(*counter).load()
	}
	if o := t.others.Load(); o != nil {
		u.add((*o)[w])
	}
	return u
}

// Totals returns the counts over all nodes.
func (t *Tally) Totals() map[ident.WorkspaceName]InFlight {
	m := t.Own()
	if o := t.others.Load(); o != nil {
		for w, u := range *o {
			s := m[w]
			s.add(u)
			m[w] = s
		}
	}
	return m
}
