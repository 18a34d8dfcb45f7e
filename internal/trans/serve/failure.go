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

// Failure is the final answer to a request that no endpoint answered.
type Failure struct {
	Status  int
	Code    string
	Message string
	Outcome ident.Outcome
	// RetryAfter is when the caller may come again; zero gives no hint.
	RetryAfter time.Duration
}

// Error returns the code and message.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

const busyRetry = time.Second

func failBusy(code, why string) *Failure {
	return &Failure{fasthttp.StatusServiceUnavailable, code, why, ident.NotRun, busyRetry}
}

func failRefused(d admit.Decision) *Failure {
	status := fasthttp.StatusServiceUnavailable
	if d.Code != admit.TooLate {
		status = fasthttp.StatusTooManyRequests
	}
	return &Failure{status, string(d.Code), d.Reason, ident.NotRun, d.RetryAfter}
}

func failTimeout(out ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusGatewayTimeout, "timeout", "the request's time limit passed", out, 0}
}

func failGone(out ident.Outcome) *Failure {
	return &Failure{fasthttp.StatusBadGateway, "caller-gone", "the caller closed the connection", out, 0}
}

// failEnded is the failure of a request whose context ended.
func failEnded(ctx context.Context, out ident.Outcome) *Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failTimeout(out)
	}
	return failGone(out)
}

func failEndpoint(err error, out ident.Outcome, attempts int) *Failure {
	f := &Failure{
		Status:  fasthttp.StatusBadGateway,
		Code:    "endpoint-failed",
		Message: fmt.Sprintf("no answer after %d attempts: %v", attempts, err),
		Outcome: out,
	}
	if out == ident.NotRun {
		f.Status = fasthttp.StatusServiceUnavailable
		f.RetryAfter = busyRetry
	}
	return f
}

func failStruck(n strik.Count, out ident.Outcome) *Failure {
	return &Failure{
		Status:  fasthttp.StatusUnprocessableEntity,
		Code:    "crashes-endpoints",
		Message: fmt.Sprintf("%d endpoints died with this request in flight, %d of them while it ran apart", n.All, n.Apart),
		Outcome: out,
	}
}

// classify tells how an attempt failed. Delivered tells that part of its
// answer had come.
func classify(err error, delivered bool) retry.Failure {
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

func failTooLarge(n ident.Tokens) *Failure {
	return &Failure{
		Status:  fasthttp.StatusRequestEntityTooLarge,
		Code:    "prompt-too-large",
		Message: fmt.Sprintf("no set of engines has memory for %d tokens", n),
		Outcome: ident.NotRun,
	}
}
