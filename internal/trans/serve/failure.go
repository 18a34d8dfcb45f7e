package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Failure is the error sent to a caller whose request gets no complete answer.
type Failure struct {
	Status  int
	Code    string
	Message string
	Outcome ident.Outcome
	// RetryAfter is how long the caller should wait before it tries again;
	// zero means that the response has no Retry-After header.
	RetryAfter time.Duration
}

// Error returns the code and message.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

const busyRetryAfter = time.Second

func busyFailure(code, message string) *Failure {
	return &Failure{fasthttp.StatusServiceUnavailable, code, message, ident.NotRun, busyRetryAfter}
}

func notAdmittedFailure(d admit.Decision) *Failure {
	status := fasthttp.StatusServiceUnavailable
	if d.Code != admit.TooLate {
		status = fasthttp.StatusTooManyRequests
	}
	return &Failure{status, string(d.Code), d.Reason, ident.NotRun, d.RetryAfter}
}

func timeoutFailure(outcome ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusGatewayTimeout, "timeout", "the request's time limit passed", outcome, 0}
}

func callerGoneFailure(outcome ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusBadGateway, "caller-gone", "the caller closed the connection", outcome, 0}
}

// outcomeOf returns the outcome to report for a request that gets no complete answer.
// mayHaveRun is set if an endpoint may have run it.
func outcomeOf(mayHaveRun bool) ident.Outcome {
	if mayHaveRun {
		return ident.Unknown
	}
	return ident.NotRun
}

// contextFailure returns the failure of a request whose context ended: its time
// limit passed, or its caller closed the connection.
func contextFailure(ctx context.Context, outcome ident.Outcome) *Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return timeoutFailure(outcome)
	}
	return callerGoneFailure(outcome)
}

func endpointFailure(err error, outcome ident.Outcome, attempts int) *Failure {
	f := &Failure{
		Status:  fasthttp.StatusBadGateway,
		Code:    "endpoint-failed",
		Message: fmt.Sprintf("no answer after %d attempts: %v", attempts, err),
		Outcome: outcome,
	}
	if outcome == ident.NotRun {
		f.Status = fasthttp.StatusServiceUnavailable
		f.RetryAfter = busyRetryAfter
	}
	return f
}

func tooManyStrikesFailure(n strik.Count, outcome ident.Outcome) *Failure {
	return &Failure{
		Status:  fasthttp.StatusUnprocessableEntity,
		Code:    "crashes-endpoints",
		Message: fmt.Sprintf("%d endpoints died with this request in flight, %d of them while it ran apart", n.All, n.Apart),
		Outcome: outcome,
	}
}

func barredPartFailure(p ident.PartID, retryAfter time.Duration, outcome ident.Outcome) *Failure {
	return &Failure{
		Status:     fasthttp.StatusServiceUnavailable,
		Code:       "crashes-endpoints",
		Message:    fmt.Sprintf("prompts with the message %s crash endpoints", p),
		Outcome:    outcome,
		RetryAfter: retryAfter,
	}
}

// failureKind classifies the error of a failed attempt. delivered is set if this
// or an earlier attempt received a part of the answer. An error that doesn't show
// whether the endpoint ran the request counts as Lost or Truncated.
func failureKind(err error, delivered bool) retry.Failure {
	switch {
	case errors.Is(err, conns.ErrNotSent):
		return retry.NotSent
	case errors.Is(err, messg.ErrRefused), errors.Is(err, messg.ErrLeaving), errors.Is(err, messg.ErrNoMemory):
		return retry.Refused
	case delivered:
		return retry.Truncated
	default:
		return retry.Lost
	}
}

func tooLargeFailure(n ident.Tokens) *Failure {
	return &Failure{
		Status:  fasthttp.StatusRequestEntityTooLarge,
		Code:    "prompt-too-large",
		Message: fmt.Sprintf("no set of engines has memory for %d tokens", n),
		Outcome: ident.NotRun,
	}
}
