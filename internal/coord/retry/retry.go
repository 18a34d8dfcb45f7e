// Package retry decides whether a failed attempt is repeated, resumed or given
// up, and with what outcome.
package retry

import (
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Failure is the way in which an attempt failed.
type Failure int

// Failures of an attempt.
const (
	// NotSent means that no byte can have reached the endpoint.
	NotSent Failure = iota
	// Refused means that the endpoint reported that it didn't run the request.
	Refused
	// Lost means that the request was sent but not answered.
	Lost
	// Truncated means that the answer ended early.
	Truncated
)

// Action is what to do after a failure.
type Action int

// Actions after a failure.
const (
	// GiveUp ends the request with an error.
	GiveUp Action = iota
	// Restart sends the whole request again.
	Restart
	// Resume continues the answer from where it ended.
	Resume
)

const (
	maxAttempts = 4
	// minAttemptTime is the shortest time left for which another attempt is
	// made.
	minAttemptTime = 5 * time.Millisecond
	baseDelay      = 5 * time.Millisecond
)

// Input is what a decision is based on.
type Input struct {
	Failure    Failure
	Idempotent bool
	// Attempts is the number of attempts so far.
	Attempts int
	// Delivered is true if a part of the answer was sent to the caller.
	Delivered bool
	Remaining time.Duration
	// WithinBudget is true if the retry budget allows another attempt.
	WithinBudget bool
}

// Decision is the action and its delay, or the outcome if the request is given
// up.
type Decision struct {
	Action  Action
	Delay   time.Duration
	Outcome ident.Outcome
}

// Decide returns what to do after a failure. Jitter is a random number between 0
// and 1.
func Decide(in Input, jitter float64) Decision {
	out := outcome(in)
	if !repeatable(in) || in.Attempts >= maxAttempts || in.Remaining < minAttemptTime || !in.WithinBudget {
		return Decision{Action: GiveUp, Outcome: out}
	}
	d := Decision{Action: Restart, Delay: delay(in.Attempts, jitter)}
	if in.Delivered {
		d.Action = Resume
	}
	return d
}

// repeatable reports whether another attempt is safe: the request is idempotent
// or has not run.
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
	// retryCost is the cost of a retry. A first attempt earns a percentage of
	// it.
	retryCost = 100
	// maxBurst is the number of retries allowed at once.
	maxBurst = 20
)

// Budget limits retries to a percentage of first attempts. It is safe for
// concurrent use.
type Budget struct {
	// spent is the used part of the burst, in units of a hundredth of a retry.
	spent atomic.Int64
}

// AddFirstAttempt records a first attempt, which earns this percentage of a
// retry.
func (b *Budget) AddFirstAttempt(percent int) {
	if b.spent.Add(-int64(percent)) < 0 {
		b.spent.Store(0)
	}
}

// TakeRetry takes one retry from the budget and reports whether the budget
// allowed it.
func (b *Budget) TakeRetry() bool {
	if b.spent.Add(retryCost) > maxBurst*retryCost {
		b.spent.Add(-retryCost)
		return false
	}
	return true
}
