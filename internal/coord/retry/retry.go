// Package retry decides what follows a failed attempt of a request: a new
// attempt, the rest of the answer, or an error. It also limits the retries to a
// budget. Package trans/serve uses it; trans/gate has its own rules and the
// budget of package extra.
package retry

import (
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Failure classifies a failed attempt by what the endpoint may have done.
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
	// maxAttempts is the maximum number of attempts for one request, including
	// the first.
	maxAttempts = 4
	// minAttemptTime is the shortest time left for which another attempt is
	// made.
	minAttemptTime = 5 * time.Millisecond
	// baseDelay is the base of the delay before an attempt, which doubles with
	// each further attempt and is randomized. The second attempt has no delay.
	baseDelay = 5 * time.Millisecond
)

// Input describes a failed attempt and its request.
type Input struct {
	// Failure is how the attempt failed.
	Failure Failure
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts is the number of attempts so far.
	Attempts int
	// Delivered is true if a part of the answer was sent to the caller.
	Delivered bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// TakeRetry takes a retry from the budget and reports whether the budget allows
	// it. It is called only if nothing else prevents another attempt.
	TakeRetry func() bool
}

// Decision is the action and its delay, or the outcome if the request is given
// up.
type Decision struct {
	Action  Action
	Delay   time.Duration
	Outcome ident.Outcome
}

// Decide returns what to do after a failure. jitter is a uniformly distributed
// random number in [0,1).
func Decide(in Input, jitter float64) Decision {
	out := outcome(in)
	if !repeatable(in) || in.Attempts >= maxAttempts || in.TimeLeft < minAttemptTime || !in.TakeRetry() {
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
	// retryCost is what a retry takes from the budget. A first attempt gives a
	// percentage of it back.
	retryCost = 100
	// maxBurst is the maximum number of retries without first attempts in
	// between.
	maxBurst = 20
)

// Budget limits retries to a percentage of first attempts. It is safe for
// concurrent use.
type Budget struct {
	// spent is the used part of the burst, in hundredths of a retry.
	spent atomic.Int64
}

// AddFirstAttempt records a first attempt, which gives percent hundredths of a
// retry back to the budget.
func (b *Budget) AddFirstAttempt(percent int) {
	for {
		spent := b.spent.Load()
		if b.spent.CompareAndSwap(spent, max(0, spent-int64(percent))) {
			return
		}
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
