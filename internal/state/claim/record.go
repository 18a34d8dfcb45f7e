// Package claim computes from the records of the claim stream which attempt may
// run a request with an idempotency key, and how that attempt ended.
package claim

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Op is an operation on a key.
type Op string

// Operations on a key.
const (
	// Claim asks for the right to run the request.
	Claim Op = "Claim"
	// Done records that the holder ran the request and got an answer.
	Done Op = "Done"
	// Lost records that the holder sent the request and got no answer.
	Lost Op = "Lost"
	// Release records that the holder did not run the request.
	Release Op = "Release"
)

// Record is a record of the claim stream: the items of one or more requests.
type Record struct {
	Holder Holder
	Items  []Item
}

// Holder identifies a process of a node. Boot differs between the starts of a
// node.
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
	// Request is the ID of the request that carried the key.
	Request ident.RequestID
	// Digest is the digest of the request, which repeats must match.
	Digest uint64 `json:",omitempty"`
	// Age is the key's lifetime, counted from its first claim. Claims of an older
	// key are refused until none was made for twice Age; then the key counts as
	// new. The log must retain records for longer than that.
	Age time.Duration `json:",omitempty"`
	// Answer is set when Op is Done.
	Answer *Answer `json:",omitempty"`
}

// MaxAge is the longest lifetime of a key. A longer one in a record counts as this.
const MaxAge = 365 * 24 * time.Hour

// Answer is an endpoint's answer, stored for repeats of the request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set if the body was too large to be stored.
	Omitted bool `json:",omitempty"`
}

// State is the state of a key.
type State int

// States of a key.
const (
	// Held keys are claimed by an attempt that has not ended.
	Held State = iota
	// Answered keys have the answer of their attempt.
	Answered
	// Unanswered keys belong to requests that were sent and got no answer, and so
	// may have run.
	Unanswered
	// Released keys were given up by their holder without running the request.
	Released
)

// Entry is the state of a key and the last attempt that won it.
type Entry struct {
	State   State
	Holder  Holder
	Attempt ident.AttemptID
	Request ident.RequestID
	Digest  uint64
	// At is the log's time of the first claim.
	At time.Time
	// Age is the key's lifetime, counted from At.
	Age    time.Duration
	Answer *Answer
	// lastClaimed is the log's time of the newest claim, whether it won or not.
	lastClaimed time.Time
}

// Expired reports whether a key's lifetime has passed, so that its request must
// not be repeated.
func (e *Entry) Expired(now time.Time) bool {
	return now.Sub(e.At) > e.Age
}

// forgotten reports whether a key counts as never claimed. That depends only on
// whether there was a claim within the last 2*Age, so that readers that started
// later agree with those that have older records.
func (e *Entry) forgotten(now time.Time) bool {
	return now.Sub(e.lastClaimed) > 2*e.Age
}
