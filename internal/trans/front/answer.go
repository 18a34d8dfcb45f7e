package front

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxDiscardBytes and discardTimeout bound the reading of the rest of the
	// body of a request that gets an error response.
	maxDiscardBytes = 64 << 20
	discardTimeout  = 2 * time.Second
)

var errTimeLimit = errors.New("bad time limit")

// parseTimeLimit parses a time limit given in milliseconds or as a duration.
func parseTimeLimit(h string) (time.Duration, error) {
	if ms, err := strconv.ParseInt(h, 10, 32); err == nil {
		if ms < 1 {
			return 0, errTimeLimit
		}
		return time.Duration(ms) * time.Millisecond, nil
	}
	d, err := time.ParseDuration(h)
	if err != nil || d <= 0 {
		return 0, errTimeLimit
	}
	return d, nil
}

func (q *exchange) notRunFailure(status int, code, msg string) *serve.Failure {
	return &serve.Failure{Status: status, Code: code, Message: msg, Outcome: ident.NotRun}
}

func (q *exchange) recordEvent(k trace.Kind, format string, args ...any) {
	q.server.Core.Ring.Add(k, q.id, fmt.Sprintf(format, args...))
}

// sendFailure sends an error response and records the end of the request.
func (q *exchange) sendFailure(f *serve.Failure) {
	q.releaseBodyMemory()
	h := &q.ctx.Response.Header
	h.Set(OutcomeHeader, string(f.Outcome))
	q.ctx.SetStatusCode(f.Status)
	q.ctx.SetContentType("application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Status == fasthttp.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	raw, _ := json.Marshal(q.errorBody(f))
	q.ctx.SetBody(raw)
	q.discard()
	q.recordEnd(f.Outcome, f.Code, f.Message)
}

// discard reads and drops the rest of the request's body, within bounds. If it
// were left unread, closing the connection would reset it, and the caller might
// not receive the response.
func (q *exchange) discard() {
	if !q.ctx.Request.IsBodyStream() {
		return
	}
	q.ctx.SetConnectionClose()
	q.ctx.Conn().SetReadDeadline(time.Now().Add(discardTimeout))
	io.Copy(io.Discard, io.LimitReader(q.ctx.RequestBodyStream(), maxDiscardBytes))
}

func (q *exchange) errorBody(f *serve.Failure) admin.Error {
	return admin.Error{
		Code: f.Code, Message: f.Message, Outcome: f.Outcome,
		RequestID: q.id, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// recordEnd counts, traces and logs the end of a request.
func (q *exchange) recordEnd(outcome ident.Outcome, code, msg string) {
	q.server.Core.Metrics.Requests.WithLabelValues(string(q.route), string(outcome), code).Inc()
	took := time.Since(q.arrived).Round(time.Millisecond)
	text := fmt.Sprintf("%s after %s", outcome, took)
	if code != "" {
		text += fmt.Sprintf(": %s, %s", code, msg)
	}
	q.server.Core.Ring.Add(trace.Ended, q.id, text)
	q.server.Logger.Debug().Str("request", string(q.id)).Str("route", string(q.route)).
		Str("outcome", string(outcome)).Str("code", code).Dur("took", took).Msg("front: request ended")
}
