// Package admsrv serves the HTTP administration API of a node, see package admin.
package admsrv

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/config"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// patchTimeout bounds the wait for the verdict on a patch.
	patchTimeout = 8 * time.Second
	usageTimeout = 5 * time.Second
	idleTimeout  = time.Minute
	// maxBodyBytes is the maximum size of a request body in bytes.
	maxBodyBytes = 16 << 20
	// defaultEventLimit is the maximum number of events returned if the request has
	// no valid limit.
	defaultEventLimit = 1000
)

// Server serves the administration API. Its exported fields are set
// before Init.
type Server struct {
	// Token is the operators' token.
	Token  string
	Config *config.Follower
	// Ring holds the events of the timeline.
	Ring   *trace.Ring
	Logger zerolog.Logger
	// Table returns the table of endpoints, or nil before the first configuration.
	Table func() *table.Table
	// Members returns the known nodes, this one first.
	Members func() []admin.Member
	// Usage computes the usage of all nodes from the log.
	Usage func(context.Context) ([]admin.UsageRow, error)
	// Drain starts a graceful shutdown of the node.
	Drain func()
	// IsReady reports whether the node may receive requests.
	IsReady func() bool
	// Gatherer collects the metrics.
	Gatherer prometheus.Gatherer

	http    *fasthttp.Server
	metrics fasthttp.RequestHandler
}

// Init prepares the server. It must be called once before Run and Stop.
func (s *Server) Init() {
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "laburnum",
		MaxRequestBodySize: maxBodyBytes,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
}

// Run serves requests until Stop is called.
func (s *Server) Run(l net.Listener) error { return s.http.Serve(l) }

// Stop closes the listener and waits for the requests in flight, at most until
// the context ends.
func (s *Server) Stop(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// discardLogger discards the log lines of fasthttp.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		if !s.IsReady() {
			ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
		return
	case "/metrics":
		s.metrics(ctx)
		return
	}
	if !s.authorized(ctx) {
		replyError(ctx, fasthttp.StatusUnauthorized, "unauthorized", "the operators' token is needed")
		return
	}
	s.dispatch(ctx)
}

// authorized reports whether the request carries the operators' token. It
// compares in constant time.
func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	t, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(t), []byte(s.Token)) == 1
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	route := string(ctx.Method()) + " " + path
	switch route {
	case "GET /v1/config":
		v, raw := s.Config.Current()
		reply(ctx, admin.Config{Version: v, Document: raw})
	case "POST /v1/config/patch":
		s.patch(ctx)
	case "POST /v1/config/check":
		s.check(ctx)
	case "GET /v1/config/history":
		reply(ctx, s.Config.History())
	case "GET /v1/nodes":
		reply(ctx, s.Members())
	case "GET /v1/endpoints":
		reply(ctx, s.endpoints())
	case "GET /v1/timeline":
		s.timeline(ctx)
	case "GET /v1/usage":
		s.usage(ctx)
	case "POST /v1/drain":
		s.Ring.Add(trace.Stopping, "", "drain asked for by an operator")
		s.Drain()
	default:
		if id, ok := strings.CutPrefix(route, "GET /v1/config/patches/"); ok {
			s.verdict(ctx, ident.PatchID(id))
			return
		}
		replyError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
	}
}

func (s *Server) patch(ctx *fasthttp.RequestCtx) {
	var p admin.PatchRequest
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil || p.ID == "" {
		replyError(ctx, fasthttp.StatusBadRequest, "bad-body", "the body must hold ID, Base, Author and Merge")
		return
	}
	patchCtx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	v, err := s.Config.Patch(patchCtx, fold.Patch{ID: p.ID, Base: p.Base, Author: p.Author, At: time.Now(), Merge: p.Merge})
	if errors.Is(err, config.ErrNoVerdict) {
		replyError(ctx, fasthttp.StatusGatewayTimeout, "no-verdict", "patch "+string(p.ID)+" may or may not be accepted; ask again by its id")
		return
	}
	if err != nil {
		replyError(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	replyVerdict(ctx, v)
}

// verdict answers with the verdict on a previously submitted patch.
func (s *Server) verdict(ctx *fasthttp.RequestCtx, id ident.PatchID) {
	v, ok := s.Config.Verdict(id)
	if !ok {
		replyError(ctx, fasthttp.StatusNotFound, "not-found", "no verdict on patch "+string(id))
		return
	}
	replyVerdict(ctx, v)
}

// replyVerdict answers with a verdict. The status is 200 if the patch was
// accepted, 409 if it was stale and 422 if it was refused.
func replyVerdict(ctx *fasthttp.RequestCtx, v fold.Verdict) {
	reply(ctx, v)
	ctx.Response.Header.Set(admin.VerdictHeader, string(v.Result))
	switch v.Result {
	case fold.Stale:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case fold.Refused:
		ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
	}
}

func (s *Server) check(ctx *fasthttp.RequestCtx) {
	var c admin.CheckRequest
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad-body", err.Error())
		return
	}
	reply(ctx, admin.CheckReply{Problems: s.Config.Check(c.Merge)})
}

func (s *Server) timeline(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(q.Peek("most")))
	if err != nil || limit < 1 {
		limit = defaultEventLimit
	}
	f := trace.Filter{Request: ident.RequestID(q.Peek("request")), Limit: limit}
	reply(ctx, append([]trace.Event{}, s.Ring.Select(f)...))
}

func (s *Server) usage(ctx *fasthttp.RequestCtx) {
	usageCtx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	rows, err := s.Usage(usageCtx)
	if err != nil {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "log-down", err.Error())
		return
	}
	reply(ctx, rows)
}

func (s *Server) endpoints() []admin.Endpoint {
	out := []admin.Endpoint{}
	t := s.Table()
	if t == nil {
		return out
	}
	for _, n := range ident.SortedKeys(t.Endpoints) {
		out = append(out, endpointInfo(t.Endpoints[n]))
	}
	return out
}

// endpointInfo describes an endpoint. Its ReportAge is negative if there has
// been no load report.
func endpointInfo(e *table.Endpoint) admin.Endpoint {
	c, l := e.Config(), e.Load()
	age := time.Duration(-1)
	if e.HasReport() {
		age = time.Since(l.At)
	}
	return admin.Endpoint{
		Name: e.Name, Address: c.Address, DataCentre: c.DataCentre, Kind: c.Kind,
		State: e.State().String(), Calls: e.Calls.Load(), ReportAge: age,
		Running: l.Running, Waiting: l.Waiting,
		QueueTokens: l.ShortQueue + l.LongQueue, HeldTokens: l.UsedMemory, Models: l.Models,
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		replyError(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func replyError(ctx *fasthttp.RequestCtx, status int, code, msg string) {
	raw, _ := json.Marshal(admin.Error{Code: code, Message: msg})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
