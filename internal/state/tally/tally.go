// Package tally counts the requests in flight by workspace, here and at the
// other nodes.
package tally

import (
	"sync"
	"sync/atomic"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Use is what is in flight.
type Use struct {
	Requests int64
	Tokens   ident.Tokens
}

func (u *Use) add(o Use) {
	u.Requests += o.Requests
	u.Tokens += o.Tokens
}

type counter struct {
	requests, tokens atomic.Int64
}

func (c *counter) use() Use {
	return Use{c.requests.Load(), ident.Tokens(c.tokens.Load())}
}

// Tally counts. The zero value is ready; it is safe for concurrent use.
type Tally struct {
	own sync.Map // WorkspaceName to *counter
	// others is replaced as a whole at each heartbeat.
	others atomic.Pointer[map[ident.WorkspaceName]Use]
	mu     sync.Mutex
	peers  map[ident.NodeName]map[ident.WorkspaceName]Use
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
func (t *Tally) Own() map[ident.WorkspaceName]Use {
	m := map[ident.WorkspaceName]Use{}
	t.own.Range(func(k, v any) bool {
		if u := v.(*counter).use(); u.Requests > 0 {
			m[k.(ident.WorkspaceName)] = u
		}
		return true
	})
	return m
}

// SetPeer replaces the counts of another node; nil removes it.
func (t *Tally) SetPeer(n ident.NodeName, uses map[ident.WorkspaceName]Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[ident.NodeName]map[ident.WorkspaceName]Use{}
	}
	if uses == nil {
		delete(t.peers, n)
	} else {
		t.peers[n] = uses
	}
	sum := map[ident.WorkspaceName]Use{}
	for _, p := range t.peers {
		for w, u := range p {
			s := sum[w]
			s.add(u)
			sum[w] = s
		}
	}
	t.others.Store(&sum)
}

// Of returns the counts of one workspace over all nodes.
func (t *Tally) Of(w ident.WorkspaceName) Use {
	var u Use
	if v, ok := t.own.Load(w); ok {
		u = v.(*counter).use()
	}
	if o := t.others.Load(); o != nil {
		u.add((*o)[w])
	}
	return u
}

// Fleet returns the counts over all nodes.
func (t *Tally) Fleet() map[ident.WorkspaceName]Use {
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
