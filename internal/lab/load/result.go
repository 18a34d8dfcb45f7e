package load

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Result is what came of one request.
type Result struct {
	Kind      Kind
	Class     string `json:",omitempty"`
	Workspace ident.WorkspaceName
	RequestID ident.RequestID
	// Node is the address that the request was sent to.
	Node string
	// At is when the request was sent, after the start of the load.
	At      time.Duration
	First   time.Duration
	Took    time.Duration
	Limit   time.Duration
	Status  int
	Outcome ident.Outcome
	Code    string `json:",omitempty"`
	// Whole tells that the answer was complete and the caller's own.
	Whole bool
	// Wrong tells that the answer holds what is not the caller's.
	Wrong bool
	// Key is the idempotency key of a booking.
	Key string `json:",omitempty"`
	// Error tells why there was no answer at all.
	Error string `json:",omitempty"`
}

// results collects results of many goroutines.
type results struct {
	mu   sync.Mutex
	list []Result
}

func (r *results) add(v Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, v)
}
