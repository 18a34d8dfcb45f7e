// Package admit decides whether a request is taken. What can't end within its
// limit is refused at once.
package admit

import (
	"fmt"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Code names the reason of a refusal.
type Code string

// Codes of refusals.
const (
	// TooLate means that the request would not end within its limit.
	TooLate Code = "too-late"
	// TooManyRequests means that the workspace's limit is reached.
	TooManyRequests Code = "too-many-requests"
	// TooManyTokens means that the workspace's limit is reached.
	TooManyTokens Code = "too-many-tokens"
	// OverShare means that the fleet is busy and the workspace uses more
	// than its share.
	OverShare Code = "over-share"
)

const (
	// busyWait is the least wait from which the fleet counts as busy.
	busyWait = 500 * time.Millisecond
	// busyPart is the part of the time left from which a wait counts as busy.
	busyPart = 16
	// sharePercent of its fair share is what a workspace may use of a busy
	// fleet.
	sharePercent = 120
	leastRetry   = 250 * time.Millisecond
	mostRetry    = 30 * time.Second
)

// Use is what a workspace, or all of them, has in flight.
type Use struct {
	Requests int64
	Tokens   ident.Tokens
}

// Input is what a decision is based on.
type Input struct {
	Prompt ident.Tokens
	// Remaining is the time left of the request's limit.
	Remaining time.Duration
	// First and Whole are the estimated times to first and last token.
	First, Whole time.Duration
	// Wait is the part of First that is not the request's own work.
	Wait time.Duration
	// Mine is what the workspace has in flight over the fleet, All what
	// all workspaces have.
	Mine, All Use
	// Weight is the workspace's, Weights the sum of those with requests in
	// flight.
	Weight, Weights int
	MaxRequests     int64
	MaxTokens       ident.Tokens
}

// Decision is the verdict on a request.
type Decision struct {
	Admit bool
	Code  Code
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
	Reason     string
}

// Decide admits or refuses a request.
func Decide(in Input) Decision {
	if in.Mine.Requests+1 > in.MaxRequests {
		return refuse(TooManyRequests, in.Wait, fmt.Sprintf("%d requests of the workspace in flight, limit %d", in.Mine.Requests, in.MaxRequests))
	}
	if in.Mine.Tokens > 0 && in.Mine.Tokens+in.Prompt > in.MaxTokens {
		return refuse(TooManyTokens, in.Wait, fmt.Sprintf("%d tokens of the workspace in flight, limit %d", in.Mine.Tokens, in.MaxTokens))
	}
	if in.Whole > in.Remaining {
		return refuse(TooLate, in.Whole-in.Remaining, fmt.Sprintf("estimated to take %s, %s left", round(in.Whole), round(in.Remaining)))
	}
	if busy(in) && overShare(in) {
		return refuse(OverShare, in.Wait, fmt.Sprintf("fleet is busy for %s and the workspace has %d of %d tokens in flight", round(in.Wait), in.Mine.Tokens, in.All.Tokens))
	}
	return Decision{Admit: true}
}

// busy reports whether the wait is long for the request: longer than its own
// prefill and than a part of its time.
func busy(in Input) bool {
	return in.Wait > max(busyWait, in.First-in.Wait, in.Remaining/busyPart)
}

// overShare reports whether the workspace has more than its share in flight.
func overShare(in Input) bool {
	if in.Weights <= in.Weight {
		return false
	}
	mine := float64(in.Mine.Tokens + in.Prompt)
	all := float64(in.All.Tokens + in.Prompt)
	return mine*float64(in.Weights)*100 > all*float64(in.Weight)*sharePercent
}

func refuse(c Code, after time.Duration, why string) Decision {
	return Decision{Code: c, RetryAfter: min(mostRetry, max(leastRetry, after)), Reason: why}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
