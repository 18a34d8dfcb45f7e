// Package works holds the requests in flight at endpoints: those of this node
// and those that the other nodes have announced.
package works

import (
	"slices"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ID identifies a request among those that its node sent.
type ID uint64

// Reservation is KV memory reserved at a helper for a prompt.
type Reservation struct {
	Endpoint ident.EndpointName
	Tokens   ident.Tokens
}

// Request is a request in flight at an endpoint.
type Request struct {
	ID ID
	// Node is the node that sent the request.
	Node ident.NodeName
	// First is the endpoint that answers; for a prompt, the primary engine.
	First ident.EndpointName
	// Helpers prefill parts of the prompt for the primary engine.
	Helpers []ident.EndpointName
	// Prompt is the size of the prompt, and Output the expected size of the
	// answer. Both are zero for a request that is not a prompt.
	Prompt, Output ident.Tokens
	// Share is the part of the prompt's KV memory that the primary engine
	// holds; the rest is reserved at helpers.
	Share ident.Tokens
	// Held lists the memory reserved for the prompt at helpers.
	Held []Reservation
	// Gap is the longest pause between events that the caller accepts. Target
	// is the time from Since within which it expects the first event.
	Gap, Target time.Duration
	// Since is when the request was sent.
	Since time.Time
	// Writing is set once the prompt is prefilled and the engine decodes, see
	// MarkDecoding.
	Writing bool
}

// Table holds the requests in flight of all nodes. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	byNode map[ident.NodeName]map[ID]*Request
	// seqs holds, for the nodes of which all requests are known, the number of the last
	// change, see Reset.
	seqs map[ident.NodeName]uint64
	// marked and ended are set by Watch.
	marked, ended func(Request)
}

// Watch sets functions that are called with each request that has just been marked by
// MarkDecoding, and with each that Remove has removed.
func (t *Table) Watch(marked, ended func(Request)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marked, t.ended = marked, ended
}

// Put adds or replaces a request.
func (t *Table) Put(r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byNode == nil {
		t.byNode = map[ident.NodeName]map[ID]*Request{}
	}
	if t.byNode[r.Node] == nil {
		t.byNode[r.Node] = map[ID]*Request{}
	}
	t.byNode[r.Node][r.ID] = &r
}

// MarkDecoding records that the prompt of a request is prefilled and the engine
// decodes.
func (t *Table) MarkDecoding(n ident.NodeName, id ID) {
	t.mu.Lock()
	r, ok := t.byNode[n][id]
	if !ok || r.Writing {
		t.mu.Unlock()
		return
	}
	r.Writing = true
	copied, marked := *r, t.marked
	t.mu.Unlock()
	if marked != nil {
		marked(copied)
	}
}

// Remove removes a request that has ended.
func (t *Table) Remove(n ident.NodeName, id ID) {
	t.mu.Lock()
	r, ok := t.byNode[n][id]
	delete(t.byNode[n], id)
	ended := t.ended
	t.mu.Unlock()
	if ok && ended != nil {
		ended(*r)
	}
}

// ReplaceNode replaces all requests of a node.
func (t *Table) ReplaceNode(n ident.NodeName, rs []Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byNode == nil {
		t.byNode = map[ident.NodeName]map[ID]*Request{}
	}
	byID := make(map[ID]*Request, len(rs))
	for _, r := range rs {
		byID[r.ID] = &r
	}
	t.byNode[n] = byID
}

// RemoveNode removes all requests of a node.
func (t *Table) RemoveNode(n ident.NodeName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byNode, n)
	delete(t.seqs, n)
}

// Reset removes all requests of a node, whose present ones are added next. From then on
// the node's requests are known completely. seq is the number of the node's last change.
func (t *Table) Reset(n ident.NodeName, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byNode, n)
	if t.seqs == nil {
		t.seqs = map[ident.NodeName]uint64{}
	}
	t.seqs[n] = seq
}

// Observe records the number of the last change of a node that was applied.
func (t *Table) Observe(n ident.NodeName, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.seqs[n]; ok {
		t.seqs[n] = max(known, seq)
	}
}

// Seq returns the number of the last change of a node that was applied. It returns false
// unless the requests of the node are known completely.
func (t *Table) Seq(n ident.NodeName) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seq, ok := t.seqs[n]
	return seq, ok
}

// KnowsOthers reports whether another node has told of its requests and has some.
func (t *Table) KnowsOthers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.seqs {
		if len(t.byNode[n]) > 0 {
			return true
		}
	}
	return false
}

// KnowsOlder reports whether another node has told of a request that was sent before a time.
func (t *Table) KnowsOlder(than time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.seqs {
		for _, w := range t.byNode[n] {
			if w.Since.Before(than) {
				return true
			}
		}
	}
	return false
}

// ByNode returns the requests of a node.
func (t *Table) ByNode(n ident.NodeName) []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := make([]Request, 0, len(t.byNode[n]))
	for _, r := range t.byNode[n] {
		rs = append(rs, *r)
	}
	return rs
}

// CountOf returns the number of requests of a node.
func (t *Table) CountOf(n ident.NodeName) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byNode[n])
}

// All returns the requests of all nodes, oldest first.
func (t *Table) All() []Request {
	t.mu.Lock()
	var rs []Request
	for _, byID := range t.byNode {
		for _, r := range byID {
			rs = append(rs, *r)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(rs, func(a, b Request) int { return a.Since.Compare(b.Since) })
	return rs
}
