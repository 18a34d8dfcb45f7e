// Package claim decides from the records of the claim stream which node may
// run a request with an idempotency key, and what became of it.
package claim

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Op tells what an item of a record does.
type Op string

// Operations on a key.
const (
	// Claim asks for the right to run the request.
	Claim Op = "Claim"
	// Done tells that the holder ran the request and got an answer.
	Done Op = "Done"
	// Lost tells that the holder sent the request and got no answer.
	Lost Op = "Lost"
	// Release tells that the holder did not run the request.
	Release Op = "Release"
)

// Record is one record of the claim stream: the items of many requests.
type Record struct {
	Holder Holder
	Items  []Item
}

// Holder identifies one run of a node.
type Holder struct {
	Node ident.NodeName
	Boot int64
}

// Key identifies an idempotency key within its workspace.
type Key struct {
	Workspace ident.WorkspaceName
	Name      string
}

// Item is one operation on one key.
type Item struct {
	Op      Op
	Key     Key
	Attempt ident.AttemptID
	// Request is the id of the request that carried the key.
	Request ident.RequestID
	// Digest binds the key to the content of its request.
	Digest uint64 `json:",omitempty"`
	// Age is how long a claimed key may be repeated. An older key is refused
	// until nobody has claimed it for twice the age. The log must keep records
	// for longer than that.
	Age time.Duration `json:",omitempty"`
	// Answer is set when Op is Done.
	Answer *Answer `json:",omitempty"`
}

// Answer is an endpoint's answer, kept for repeats of the request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted tells that the body was too large to keep.
	Omitted bool `json:",omitempty"`
}

// State tells what is known of a key.
type State int

// States of a key.
const (
	// Held keys were claimed and have no answer yet.
	Held State = iota
	// Finished keys have an answer.
	Finished
	// Uncertain keys may have run without an answer.
	Uncertain
	// Free keys were released by their holder.
	Free
)

// Entry is the state of one key.
type Entry struct {
	State   State
	Holder  Holder
	Attempt ident.AttemptID
	Request ident.RequestID
	Digest  uint64
	// At is the log's time of the first claim.
	At time.Time
	// Age is how long the key may be repeated.
	Age    time.Duration
	Answer *Answer
	// lastClaimed is the log's time of the newest claim, won or lost.
	lastClaimed time.Time
}

// Expired reports whether a key is too old to be repeated.
func (e *Entry) Expired(now time.Time) bool {
	return now.Sub(e.At) > e.Age
}

// forgotten reports whether a key counts as never claimed. It depends only on
// the claims of the last twice the age, so that readers which know no older
// records agree with those that do.
func (e *Entry) forgotten(now time.Time) bool {
	return now.Sub(e.lastClaimed) > 2*e.Age
}
