// Package front serves the HTTP interface for callers.
package front

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Header fields of requests and responses.
const (
	// RequestIDHeader is set on responses and on requests to plain services.
	RequestIDHeader = "X-Request-Id"
	// OutcomeHeader is set on responses. Its value is an ident.Outcome.
	OutcomeHeader = "X-Outcome"
	// TimeLimitHeader may be set by callers to shorten the route's time limit.
	TimeLimitHeader = "X-Time-Limit"
	// WorkspaceHeader is set on requests to plain services. Its value is the
	// caller's workspace.
	WorkspaceHeader = "X-Workspace"
	// IdempotencyKeyHeader is set by callers. Routes whose requests are not
	// idempotent require it.
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	idleTimeout            = 2 * time.Minute
	readTimeout            = time.Minute
	maxHeaderBytes         = 16 << 10
	maxIdempotencyKeyBytes = 256
	// minStreamedBody is the body size in bytes from which fasthttp hands over
	// the body as a stream.
	minStreamedBody = 64 << 10
	// writeGrace is how long after a request's deadline the rest of the response
	// may still be written.
	writeGrace = 500 * time.Millisecond
)

// Server serves callers. Its exported fields are set before Run.
type Server struct {
	Core *serve.Core
	// Node is the name of this node.
	Node   ident.NodeName
	Logger zerolog.Logger
	// HasConfig reports whether a configuration is in force.
	HasConfig func() bool

	http   *fasthttp.Server
	conns  callerConns
	active activeRequests
	// bodyMemory counts the bytes of request bodies.
	bodyMemory memory.Counter
	draining   atomic.Bool
	// endsAt is the time up to which Stop waits for requests; not set before.
	endsAt clock.Moment
}

// Init prepares the server; it is called once before Run and Stop.
func (s *Server) Init() {
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.badRequest,
		Name:                         "laburnum",
		StreamRequestBody:            true,
		MaxRequestBodySize:           minStreamedBody,
		ReadBufferSize:               maxHeaderBytes,
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  readTimeout,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		ConnState:                    trackState,
		Logger:                       silentLogger{},
	}
}

// Run serves callers until Stop is called. Until the context ends, it cancels the
// requests of callers that closed their connection.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	go s.active.cancelGone(ctx)
	return s.http.Serve(s.conns.listen(l))
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// Drain makes the node report that it is not ready, and closes each connection
// after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Active returns the number of requests in flight.
func (s *Server) Active() int { return s.active.len() }

// Stop closes the listener and the idle connections, and waits for the
// requests in flight. A request that has arrived is served, or rejected if it may take longer
// than until the context ends. Drain must have been called.
func (s *Server) Stop(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		s.endsAt.Store(end)
	}
	// fasthttp closes connections without a look for bytes that have arrived, and after
	// responses that didn't announce it.
	s.conns.end(ctx)
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// mayEndBefore reports whether the process may end before a time.
func (s *Server) mayEndBefore(t time.Time) bool {
	return s.endsAt.IsSet() && t.After(s.endsAt.Load())
}

// IsReady reports whether the load balancer may send requests to this node.
func (s *Server) IsReady() bool { return s.HasConfig() && !s.Draining() }

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.answer(ctx)
	// Only now, since the drain may have begun meanwhile: the header is written next.
	if s.Draining() {
		ctx.SetConnectionClose()
	}
}

// answer prepares the response to one request.
func (s *Server) answer(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.answerReadiness(ctx)
		return
	}
	q := &exchange{server: s, ctx: ctx, id: ident.RequestID(ident.NewID()), arrived: time.Now()}
	ctx.Response.Header.Set(RequestIDHeader, string(q.id))
	if f := q.serve(); f != nil {
		q.sendFailure(f)
	}
}

func (s *Server) answerReadiness(ctx *fasthttp.RequestCtx) {
	if !s.IsReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// badRequest answers a request that can't be parsed as HTTP.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	q := &exchange{server: s, ctx: ctx, id: ident.RequestID(ident.NewID()), arrived: time.Now()}
	ctx.Response.Header.Set(RequestIDHeader, string(q.id))
	status, code := fasthttp.StatusBadRequest, "bad-request"
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	}
	q.sendFailure(&serve.Failure{Status: status, Code: code, Message: "request can't be read", Outcome: ident.NotRun})
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.Linger()
	}
}

// exchange is one request and its response.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	id      ident.RequestID
	arrived time.Time
	req     *serve.Request
	route   ident.RouteName
	// releaseMemory returns the body's size to the memory budget; nil if the body
	// has taken nothing from it.
	releaseMemory func()
}

// serve authenticates and routes the request, and sends the response or returns
// the failure.
func (q *exchange) serve() *serve.Failure {
	t := q.server.Core.Table()
	if t == nil {
		return q.notRunFailure(fasthttp.StatusServiceUnavailable, "no-config", "no configuration is in force yet")
	}
	w, ok := t.Workspace(bearerToken(q.ctx.Request.Header.Peek("Authorization")))
	if !ok {
		return q.notRunFailure(fasthttp.StatusUnauthorized, "unauthorized", "a workspace's key is needed")
	}
	rs := t.Match(hostOnly(string(q.ctx.Host())), string(q.ctx.Method()), string(q.ctx.Path()))
	if len(rs) == 0 {
		return q.notRunFailure(fasthttp.StatusNotFound, "unknown-route", "no route for this host, method and path")
	}
	q.req = &serve.Request{ID: q.id, Workspace: w, Route: rs[0], Table: t, Arrived: q.arrived}
	q.route = rs[0].Name
	if rs[0].Class == confg.Prompt {
		return q.servePrompt(rs)
	}
	return q.servePlain()
}

// setDeadline sets the deadlines of the request and of its connection. The time
// limit is that of the route or of TimeLimitHeader, whichever is shorter.
func (q *exchange) setDeadline() *serve.Failure {
	d := q.req.Route.TimeLimit.Std()
	if h := string(q.ctx.Request.Header.Peek(TimeLimitHeader)); h != "" {
		requested, err := parseTimeLimit(h)
		if err != nil {
			return q.notRunFailure(fasthttp.StatusBadRequest, "bad-header", TimeLimitHeader+" must be milliseconds or a duration such as 1.5s")
		}
		d = min(d, requested)
	}
	q.req.Deadline = q.arrived.Add(d)
	q.ctx.Conn().SetReadDeadline(q.req.Deadline)
	q.ctx.Conn().SetWriteDeadline(q.req.Deadline.Add(writeGrace))
	return nil
}

// checkEnd returns a failure if the node may stop before the request finishes. The body must
// have been received: a close with bytes unread would reset the connection, and the caller
// could lose the response.
func (q *exchange) checkEnd() *serve.Failure {
	if q.server.mayEndBefore(q.req.Deadline) {
		return q.notRunFailure(fasthttp.StatusServiceUnavailable, "stopping", "the node may stop before the request finishes")
	}
	return nil
}

// register adds the request to those in flight. The returned context ends at the
// deadline or when the caller closes the connection. The returned function
// cancels the context, removes the request and releases the memory of its body.
func (q *exchange) register() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), q.req.Deadline)
	e := q.server.active.add(q.ctx.Conn(), cancel)
	q.server.Core.Metrics.Active.Inc()
	q.recordEvent(trace.Arrived, "%s %s by %s on route %s", q.ctx.Method(), q.ctx.Path(), q.req.Workspace, q.route)
	return ctx, func() {
		cancel()
		q.server.active.remove(e)
		q.server.Core.Metrics.Active.Dec()
		q.releaseBodyMemory()
	}
}

func (q *exchange) releaseBodyMemory() {
	if q.releaseMemory != nil {
		q.releaseMemory()
		q.releaseMemory = nil
	}
}

// bearerToken returns the token of an Authorization header, or an empty string if
// it has none.
func bearerToken(h []byte) string {
	k, ok := strings.CutPrefix(string(h), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(k)
}

// hostOnly returns a Host header in lower case and without its port.
func hostOnly(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// routeForModel returns the first of the routes that offers a model, or nil.
func routeForModel(rs []*table.Route, m ident.ModelName) *table.Route {
	for _, r := range rs {
		for _, o := range r.Models {
			if o == m {
				return r
			}
		}
	}
	return nil
}
