// Package ledgr sums the usage of workspaces for billing.
package ledgr

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Account is the key under which usage is summed: a workspace, a route, a model
// and an hour.
type Account struct {
	Workspace ident.WorkspaceName
	Route     ident.RouteName
	Model     ident.ModelName `json:",omitempty"`
	// Hour is the start of the hour in UTC.
	Hour time.Time
}

// Sum is the usage of an account.
type Sum struct {
	Requests        int64
	PromptTokens    ident.Tokens
	GeneratedTokens ident.Tokens
	// EndpointSeconds is the total duration of the attempts at endpoints, in
	// seconds.
	EndpointSeconds float64
	// Refusals is the number of requests that the node rejected.
	Refusals int64
}

func (s *Sum) add(o Sum) {
	s.Requests += o.Requests
	s.PromptTokens += o.PromptTokens
	s.GeneratedTokens += o.GeneratedTokens
	s.EndpointSeconds += o.EndpointSeconds
	s.Refusals += o.Refusals
}

// maxRowValue bounds each value of a row of a batch. It keeps sums within their range.
const maxRowValue = 1e12

// isSound reports whether the values may come from a node: a record of another writer may
// have any.
func (s *Sum) isSound() bool {
	for _, n := range []int64{s.Requests, int64(s.PromptTokens), int64(s.GeneratedTokens), s.Refusals} {
		if n < 0 || n > maxRowValue {
			return false
		}
	}
	return s.EndpointSeconds >= 0 && s.EndpointSeconds <= maxRowValue
}

// Row is an account with its sum.
type Row struct {
	Account
	Sum
}

// Batch is a record of the usage stream. Batches with the same node, boot and
// sequence number hold the same rows and count once.
type Batch struct {
	Node ident.NodeName
	// Boot is a random ID that differs between the starts of a node.
	Boot string
	Seq  uint64
	Rows []Row
}

// Ledger sums usage until it is taken as the rows of a batch. It is safe for
// concurrent use.
type Ledger struct {
	mu   sync.Mutex
	sums map[Account]*Sum
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{sums: map[Account]*Sum{}} }

// Add adds usage to an account, in the hour of the given time.
func (l *Ledger) Add(a Account, at time.Time, s Sum) {
	a.Hour = at.UTC().Truncate(time.Hour)
	l.mu.Lock()
	defer l.mu.Unlock()
	addTo(l.sums, a, s)
}

// Take returns the rows collected so far and empties the ledger.
func (l *Ledger) Take() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	rs := rowsOf(l.sums)
	clear(l.sums)
	return rs
}

// Peek returns the rows collected so far and keeps them.
func (l *Ledger) Peek() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rowsOf(l.sums)
}

// Bill sums the batches of the usage stream. It is not safe for concurrent use.
type Bill struct {
	sums map[Account]*Sum
	seen map[batchID]struct{}
}

type batchID struct {
	node ident.NodeName
	boot string
	seq  uint64
}

// NewBill returns an empty bill.
func NewBill() *Bill {
	return &Bill{sums: map[Account]*Sum{}, seen: map[batchID]struct{}{}}
}

// Apply adds a batch unless it was added before. It leaves out rows with negative or
// excessive values.
func (b *Bill) Apply(batch Batch) {
	id := batchID{batch.Node, batch.Boot, batch.Seq}
	if _, ok := b.seen[id]; ok {
		return
	}
	b.seen[id] = struct{}{}
	for _, row := range batch.Rows {
		if row.isSound() {
			addTo(b.sums, row.Account, row.Sum)
		}
	}
}

// Rows returns the sums, sorted by hour, workspace, route and model.
func (b *Bill) Rows() []Row { return rowsOf(b.sums) }

func addTo(m map[Account]*Sum, a Account, s Sum) {
	if t, ok := m[a]; ok {
		t.add(s)
		return
	}
	m[a] = &s
}

func rowsOf(m map[Account]*Sum) []Row {
	rs := make([]Row, 0, len(m))
	for a, s := range m {
		rs = append(rs, Row{a, *s})
	}
	slices.SortFunc(rs, compareRows)
	return rs
}

func compareRows(a, b Row) int {
	return cmp.Or(
		a.Hour.Compare(b.Hour),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Model, b.Model),
	)
}
