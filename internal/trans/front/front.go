// Package front is the HTTP interface that callers use.
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

	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Headers of requests and answers.
const (
	RequestIDHeader = "X-Request-Id"
	OutcomeHeader   = "X-Outcome"
	TimeLimitHeader = "X-Time-Limit"
	WorkspaceHeader = "X-Workspace"
	KeyHeader       = "Idempotency-Key"
)

const (
	idleTimeout = 2 * time.Minute
	readTimeout = time.Minute
	maxHeader   = 16 << 10
	maxKey      = 256
	// streamBody is the body size from which fasthttp hands over a stream.
	streamBody = 64 << 10
	// writeGrace is added to a request's limit for its last bytes.
	writeGrace = 500 * time.Millisecond
)

// Server answers callers. Its exported fields are set before Run.
type Server struct {
	Core   *serve.Core
	Node   ident.NodeName
	Logger zerolog.Logger
	// Ready reports whether a configuration is in force.
	Ready func() bool

	http     *fasthttp.Server
	active   registry
	memory   budget
	draining atomic.Bool
}

// Init prepares the server; it is called once before Run and Stop.
func (s *Server) Init() {
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.badRequest,
		Name:                         "laburnum",
		StreamRequestBody:            true,
		MaxRequestBodySize:           streamBody,
		ReadBufferSize:               maxHeader,
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  readTimeout,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
	}
}

// Run answers callers until Stop.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	go s.active.watch(ctx)
	return s.http.Serve(conns.LingerListener{Listener: l})
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Drain makes the node look not ready and ends each connection politely with
// its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether a planned stop has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// Active returns the number of requests in flight.
func (s *Server) Active() int { return s.active.len() }

// Stop closes the listener and the idle connections, and waits for the rest.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// IsReady reports whether the balancer may send requests here.
func (s *Server) IsReady() bool { return s.Ready() && !s.Draining() }

// handle answers one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.Draining() {
		ctx.SetConnectionClose()
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.answerReady(ctx)
		return
	}
	q := &exchange{server: s, ctx: ctx, id: ident.RequestID(ident.New()), arrived: time.Now()}
	ctx.Response.Header.Set(RequestIDHeader, string(q.id))
	if f := q.serve(); f != nil {
		q.fail(f)
	}
}

func (s *Server) answerReady(ctx *fasthttp.RequestCtx) {
	if !s.IsReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// badRequest answers what can't be read as HTTP.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	q := &exchange{server: s, ctx: ctx, id: ident.RequestID(ident.New()), arrived: time.Now()}
	ctx.Response.Header.Set(RequestIDHeader, string(q.id))
	status, code := fasthttp.StatusBadRequest, "bad-request"
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	}
	q.fail(&serve.Failure{Status: status, Code: code, Message: "request can't be read", Outcome: ident.NotRun})
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*conns.LingeringConn); ok {
		c.Linger()
	}
}

// exchange is one request with its answer.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	id      ident.RequestID
	arrived time.Time
	req     *serve.Request
	route   ident.RouteName
	// release returns the memory of the body.
	release func()
}

// serve finds the route of the request and answers it, or returns why not.
func (q *exchange) serve() *serve.Failure {
	t := q.server.Core.Table()
	if t == nil {
		return q.notRun(fasthttp.StatusServiceUnavailable, "no-config", "no configuration is in force yet")
	}
	w, ok := t.Workspace(bearer(q.ctx.Request.Header.Peek("Authorization")))
	if !ok {
		return q.notRun(fasthttp.StatusUnauthorized, "unauthorized", "a workspace's key is needed")
	}
	rs := t.Match(hostOnly(string(q.ctx.Host())), string(q.ctx.Method()), string(q.ctx.Path()))
	if len(rs) == 0 {
		return q.notRun(fasthttp.StatusNotFound, "unknown-route", "no route for this host, method and path")
	}
	q.req = &serve.Request{ID: q.id, Workspace: w, Route: rs[0], Table: t, Arrived: q.arrived}
	q.route = rs[0].Name
	if rs[0].Class == confg.Prompt {
		return q.prompt(rs)
	}
	return q.plain()
}

// limit sets the request's deadline from its route and header.
func (q *exchange) limit() *serve.Failure {
	d := q.req.Route.TimeLimit.D()
	if h := string(q.ctx.Request.Header.Peek(TimeLimitHeader)); h != "" {
		own, err := parseLimit(h)
		if err != nil {
			return q.notRun(fasthttp.StatusBadRequest, "bad-header", TimeLimitHeader+" must be milliseconds or a duration such as 1.5s")
		}
		d = min(d, own)
	}
	q.req.Deadline = q.arrived.Add(d)
	q.ctx.Conn().SetReadDeadline(q.req.Deadline)
	q.ctx.Conn().SetWriteDeadline(q.req.Deadline.Add(writeGrace))
	return nil
}

// begin registers the request, whose context ends at its deadline or when the
// caller is gone.
func (q *exchange) begin() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), q.req.Deadline)
	e := q.server.active.add(q.ctx.Conn(), cancel)
	q.server.Core.Metrics.Active.Inc()
	q.event(trace.Arrived, "%s %s by %s on route %s", q.ctx.Method(), q.ctx.Path(), q.req.Workspace, q.route)
	return ctx, func() {
		cancel()
		q.server.active.remove(e)
		q.server.Core.Metrics.Active.Dec()
		q.free()
	}
}

func (q *exchange) free() {
	if q.release != nil {
		q.release()
		q.release = nil
	}
}

func bearer(h []byte) string {
	k, ok := strings.CutPrefix(string(h), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(k)
}

func hostOnly(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// offersModel returns the route that offers a model.
func offersModel(rs []*table.Route, m ident.ModelName) *table.Route {
	for _, r := range rs {
		for _, o := range r.Models {
			if o == m {
				return r
			}
		}
	}
	return nil
}
