// Package admit decides whether a node accepts a request. A request is rejected
// at once if its workspace has reached a limit, if the workspace uses too much
// of a busy fleet, or if the request is not expected to end within its time
// limit. Package trans/serve uses it; package place has the rules of
// trans/gate.
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
	// TooManyRequests means that the workspace has reached its limit on requests
	// in flight.
	TooManyRequests Code = "too-many-requests"
	// TooManyTokens means that the prompt would exceed the workspace's limit on
	// tokens in flight.
	TooManyTokens Code = "too-many-tokens"
	// OverShare means that the fleet is busy and the workspace would use much
	// more than its fair share of it, see sharePercent.
	OverShare Code = "over-share"
)

const (
	// busyWait is the wait for other requests above which the fleet may count as
	// busy, see busy.
	busyWait = 500 * time.Millisecond
	// The fleet counts as busy only if the wait is also longer than the time left
	// divided by busyDivisor.
	busyDivisor = 16
	// sharePercent limits the use of a busy fleet by one workspace, in percent of
	// the workspace's fair share.
	sharePercent = 120
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// InFlight counts the requests in flight of one workspace or of all, and their
// prompt tokens.
type InFlight struct {
	Requests int64
	Tokens   ident.Tokens
}

// Input describes a request, its workspace and the load of the fleet.
type Input struct {
	Prompt ident.Tokens
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
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
	// MaxRequests and MaxTokens are the workspace's limits on requests in flight
	// and on their prompt tokens.
	MaxRequests int64
	MaxTokens   ident.Tokens
}

// Decision is the outcome of Decide. Code, RetryAfter and Reason are set only
// if Admit is false.
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
	if in.LastToken > in.TimeLeft {
		return reject(TooLate, in.LastToken-in.TimeLeft, fmt.Sprintf("estimated to take %s, %s left", round(in.LastToken), round(in.TimeLeft)))
	}
	if busy(in) && overShare(in) {
		return reject(OverShare, in.Wait, fmt.Sprintf("fleet is busy for %s and the workspace has %d of %d tokens in flight", round(in.Wait), in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens))
	}
	return Decision{Admit: true}
}

// busy reports whether the fleet counts as busy for a request: the wait is
// longer than the request's own prefill, than busyWait and than a part of the
// time left.
func busy(in Input) bool {
	return in.Wait > max(busyWait, in.FirstToken-in.Wait, in.TimeLeft/busyDivisor)
}

// overShare reports whether the workspace would have more than sharePercent of
// its fair share of the tokens in flight. It returns false if no other
// workspace has requests in flight.
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
