// Package admit decides whether a request is accepted. A request that is not
// expected to end within its time limit is rejected at once.
package admit

import (
	"fmt"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Code names the reason for a rejection.
type Code string

// Codes of rejections.
const (
	// TooLate means that the request would not end within its time limit.
	TooLate Code = "too-late"
	// TooManyRequests means that the workspace has as many requests in flight as
	// it may.
	TooManyRequests Code = "too-many-requests"
	// TooManyTokens means that the prompt would exceed the workspace's limit on
	// tokens in flight.
	TooManyTokens Code = "too-many-tokens"
	// OverShare means that the fleet is busy and the workspace uses more than
	// its fair share of it.
	OverShare Code = "over-share"
)

const (
	// busyWait is the shortest wait from which the fleet counts as busy.
	busyWait = 500 * time.Millisecond
	// A wait counts as busy only if it is longer than the time left divided by
	// busyDivisor.
	busyDivisor = 16
	// sharePercent is the percentage of its fair share that a workspace may use
	// of a busy fleet.
	sharePercent  = 120
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// InFlight counts the requests in flight of one workspace or of all, and their
// prompt tokens.
type InFlight struct {
	Requests int64
	Tokens   ident.Tokens
}

// Input is what a decision is based on.
type Input struct {
	Prompt ident.Tokens
	// Remaining is the time left until the request's time limit.
	Remaining time.Duration
	// FirstToken and LastToken are the estimated times to the first and last
	// token.
	FirstToken, LastToken time.Duration
	// Wait is the part of FirstToken that is spent waiting for other requests.
	Wait time.Duration
	// WorkspaceInFlight is what the workspace has in flight at all nodes,
	// FleetInFlight what all workspaces have.
	WorkspaceInFlight, FleetInFlight InFlight
	// Weight is the weight of the workspace, TotalWeight the sum for all
	// workspaces with requests in flight.
	Weight, TotalWeight int
	MaxRequests         int64
	MaxTokens           ident.Tokens
}

// Decision is the result for one request.
type Decision struct {
	Admit bool
	Code  Code
	// RetryAfter is the time after which a rejected request may be retried.
	RetryAfter time.Duration
	Reason     string
}

// Decide accepts or rejects a request.
func Decide(in Input) Decision {
	if in.WorkspaceInFlight.Requests+1 > in.MaxRequests {
		return reject(TooManyRequests, in.Wait, fmt.Sprintf("%d requests of the workspace in flight, limit %d", in.WorkspaceInFlight.Requests, in.MaxRequests))
	}
	if in.WorkspaceInFlight.Tokens > 0 && in.WorkspaceInFlight.Tokens+in.Prompt > in.MaxTokens {
		return reject(TooManyTokens, in.Wait, fmt.Sprintf("%d tokens of the workspace in flight, limit %d", in.WorkspaceInFlight.Tokens, in.MaxTokens))
	}
	if in.LastToken > in.Remaining {
		return reject(TooLate, in.LastToken-in.Remaining, fmt.Sprintf("estimated to take %s, %s left", round(in.LastToken), round(in.Remaining)))
	}
	if busy(in) && overShare(in) {
		return reject(OverShare, in.Wait, fmt.Sprintf("fleet is busy for %s and the workspace has %d of %d tokens in flight", round(in.Wait), in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens))
	}
	return Decision{Admit: true}
}

// busy reports whether the wait is long for the request: longer than its own
// prefill, than busyWait and than a part of the time left.
func busy(in Input) bool {
	return in.Wait > max(busyWait, in.FirstToken-in.Wait, in.Remaining/busyDivisor)
}

// overShare reports whether the workspace would have more than its share in
// flight.
func overShare(in Input) bool {
	if in.TotalWeight <= in.Weight {
		return false
	}
	own := float64(in.WorkspaceInFlight.Tokens + in.Prompt)
	all := float64(in.FleetInFlight.Tokens + in.Prompt)
	return own*float64(in.TotalWeight)*100 > all*float64(in.Weight)*sharePercent
}

func reject(c Code, after time.Duration, why string) Decision {
	return Decision{Code: c, RetryAfter: min(maxRetryAfter, max(minRetryAfter, after)), Reason: why}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
