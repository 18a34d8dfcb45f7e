// Package retry decides whether a failed attempt is tried again, resumed or
// given up, and with what outcome.
package retry

import (
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Failure tells how an attempt failed.
type Failure int

// Failures of an attempt.
const (
	// NotSent means that no byte can have arrived.
	NotSent Failure = iota
	// Refused means that the endpoint said that it didn't run the request.
	Refused
	// Lost means that the request was sent and has no answer.
	Lost
	// Cut means that the answer ended before its end.
	Cut
)

// Action is what to do after a failure.
type Action int

// Actions after a failure.
const (
	// GiveUp ends the request.
	GiveUp Action = iota
	// Again tries the whole request on another endpoint.
	Again
	// Resume continues the answer at its position.
	Resume
)

const (
	maxAttempts = 4
	// leastTime is the time a further attempt needs at least.
	leastTime = 5 * time.Millisecond
	baseDelay = 5 * time.Millisecond
)

// Input is what a decision is based on.
type Input struct {
	Failure    Failure
	Idempotent bool
	// Attempts counts the attempts so far.
	Attempts int
	// Delivered tells that part of the answer went to the caller.
	Delivered bool
	Remaining time.Duration
	// Budget tells that the retry budget allows another attempt.
	Budget bool
}

// Decision is the action with its delay, or the outcome if given up.
type Decision struct {
	Action  Action
	Delay   time.Duration
	Outcome ident.Outcome
}

// Decide returns what to do. Jitter is a random number from 0 to 1.
func Decide(in Input, jitter float64) Decision {
	out := outcome(in)
	if !repeatable(in) || in.Attempts >= maxAttempts || in.Remaining < leastTime || !in.Budget {
		return Decision{Action: GiveUp, Outcome: out}
	}
	d := Decision{Action: Again, Delay: delay(in.Attempts, jitter)}
	if in.Delivered {
		d.Action = Resume
	}
	return d
}

// repeatable reports whether another attempt can't run the request twice.
func repeatable(in Input) bool {
	return in.Idempotent || in.Failure == NotSent || in.Failure == Refused
}

func outcome(in Input) ident.Outcome {
	if in.Failure == NotSent || in.Failure == Refused {
		return ident.NotRun
	}
	return ident.Unknown
}

func delay(attempts int, jitter float64) time.Duration {
	if attempts <= 1 {
		return 0
	}
	whole := baseDelay << min(attempts, 6)
	return whole/2 + time.Duration(jitter*float64(whole/2))
}

const (
	// unit is one attempt in the budget's count.
	unit = 100
	// burst is the number of retries that may come at once.
	burst = 20
)

// Budget bounds retries to a share of first attempts. It is safe for
// concurrent use.
type Budget struct {
	// spent is how far the budget is below its burst.
	spent atomic.Int64
}

// First notes a first attempt, which earns percent of a retry.
func (b *Budget) First(percent int) {
	if b.spent.Add(-int64(percent)) < 0 {
		b.spent.Store(0)
	}
}

// Take spends one retry if the budget allows it.
func (b *Budget) Take() bool {
	if b.spent.Add(unit) > burst*unit {
		b.spent.Add(-unit)
		return false
	}
	return true
}
