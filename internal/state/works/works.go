// Package works keeps the requests that endpoints are working on, as far as the
// nodes have told each other.
package works

import (
	"slices"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ID identifies a work among those of its node.
type ID uint64

// Held is memory that is reserved at an engine for a prompt.
type Held struct {
	Endpoint ident.EndpointName
	Tokens   ident.Tokens
}

// Work is one request at an endpoint.
type Work struct {
	ID    ID
	Node  ident.NodeName
	First ident.EndpointName
	// Helpers read parts of the prompt for the first endpoint.
	Helpers []ident.EndpointName
	// Prompt is the size of the prompt and Output that of the answer that is
	// expected; both are zero for requests that are no prompts.
	Prompt, Output ident.Tokens
	// Share is the part of the prompt's memory that stays at the first
	// endpoint; the rest is in reservations of others.
	Share ident.Tokens
	// Held is the memory that the prompt has at others.
	Held []Held
	// Gap is the pause between events that the caller accepts, Target the time
	// from Since to the first event that it expects.
	Gap, Target time.Duration
	// Since is when the work was sent.
	Since time.Time
	// Writing tells that the prompt is read.
	Writing bool
}

// Table holds the works of all nodes. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	m  map[ident.NodeName]map[ID]*Work
}

// Put adds or replaces a work.
func (t *Table) Put(w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = map[ident.NodeName]map[ID]*Work{}
	}
	if t.m[w.Node] == nil {
		t.m[w.Node] = map[ID]*Work{}
	}
	t.m[w.Node][w.ID] = &w
}

// Wrote notes that a prompt is read.
func (t *Table) Wrote(n ident.NodeName, id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, ok := t.m[n][id]; ok {
		w.Writing = true
	}
}

// Done drops a work.
func (t *Table) Done(n ident.NodeName, id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.m[n], id)
}

// Replace sets all works of a node.
func (t *Table) Replace(n ident.NodeName, ws []Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = map[ident.NodeName]map[ID]*Work{}
	}
	m := make(map[ID]*Work, len(ws))
	for _, w := range ws {
		m[w.ID] = &w
	}
	t.m[n] = m
}

// Drop forgets the works of a node.
func (t *Table) Drop(n ident.NodeName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.m, n)
}

// Of returns the works of a node.
func (t *Table) Of(n ident.NodeName) []Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	ws := make([]Work, 0, len(t.m[n]))
	for _, w := range t.m[n] {
		ws = append(ws, *w)
	}
	return ws
}

// All returns the works of all nodes, oldest first.
func (t *Table) All() []Work {
	t.mu.Lock()
	var ws []Work
	for _, m := range t.m {
		for _, w := range m {
			ws = append(ws, *w)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(ws, func(a, b Work) int { return a.Since.Compare(b.Since) })
	return ws
}
