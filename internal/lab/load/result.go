package load

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Result describes one request and the response to it.
type Result struct {
	Kind      Kind
	Class     string `json:",omitempty"`
	Workspace ident.WorkspaceName
	RequestID ident.RequestID
	// Node is the address that the request was sent to.
	Node string
	// At is when the request was sent, measured from the start of the load.
	At time.Duration
	// First is the time to the first token, zero if there was none.
	First time.Duration
	// Took is the time to the end of the response or to the failure.
	Took time.Duration
	// Limit is the time limit that was sent with the request, or else the one
	// that the runner assumes for its route.
	Limit   time.Duration
	Status  int
	Outcome ident.Outcome
	Code    string `json:",omitempty"`
	// Whole is set if the response was complete and belonged to this request.
	Whole bool
	// Wrong is set if the response had unexpected content.
	Wrong bool
	// Key is the idempotency key of a booking.
	Key string `json:",omitempty"`
	// Unanswered is set if the request was sent and its connection ended without the
	// header of a response.
	Unanswered bool `json:",omitempty"`
	// Error is the reason why there was no response, or why a stream was
	// incomplete or wrong.
	Error string `json:",omitempty"`
}

// results collects the results of concurrent requests.
type results struct {
	mu   sync.Mutex
	list []Result
}

func (r *results) add(v Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, v)
}
