// Package admsrv is the HTTP interface that operators use.
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
	// verdictWait bounds the wait for the verdict on a patch.
	verdictWait = 8 * time.Second
	usageWait   = 5 * time.Second
	idleTimeout = time.Minute
	maxBody     = 16 << 20
	defaultMost = 1000
)

// Server answers operators. Its exported fields are set before Run.
type Server struct {
	Token   string
	Config  *config.Follower
	Ring    *trace.Ring
	Logger  zerolog.Logger
	Table   func() *table.Table
	Members func() []admin.Member
	// Usage sums the bill from the log.
	Usage func(context.Context) ([]admin.UsageRow, error)
	// Drain begins a planned stop.
	Drain   func()
	IsReady func() bool
	Gather  prometheus.Gatherer

	http    *fasthttp.Server
	metrics fasthttp.RequestHandler
}

// Init prepares the server; it is called once before Run and Stop.
func (s *Server) Init() {
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.Gather, promhttp.HandlerOpts{}))
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "laburnum",
		MaxRequestBodySize: maxBody,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             silent{},
	}
}

// Run answers operators until Stop.
func (s *Server) Run(l net.Listener) error { return s.http.Serve(l) }

// Stop closes the listener and waits for open calls.
func (s *Server) Stop(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

type silent struct{}

func (silent) Printf(string, ...any) {}

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
	if !s.allowed(ctx) {
		fail(ctx, fasthttp.StatusUnauthorized, "unauthorized", "the operators' token is needed")
		return
	}
	s.dispatch(ctx)
}

// allowed compares the operators' token in constant time.
func (s *Server) allowed(ctx *fasthttp.RequestCtx) bool {
	t, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(t), []byte(s.Token)) == 1
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	call := string(ctx.Method()) + " " + path
	switch call {
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
		if id, ok := strings.CutPrefix(call, "GET /v1/config/patches/"); ok {
			s.verdict(ctx, ident.PatchID(id))
			return
		}
		fail(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
	}
}

func (s *Server) patch(ctx *fasthttp.RequestCtx) {
	var p admin.PatchRequest
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil || p.ID == "" {
		fail(ctx, fasthttp.StatusBadRequest, "bad-body", "the body must hold ID, Base, Author and Merge")
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), verdictWait)
	defer cancel()
	v, err := s.Config.Patch(wait, fold.Patch{ID: p.ID, Base: p.Base, Author: p.Author, At: time.Now(), Merge: p.Merge})
	if errors.Is(err, config.ErrNoVerdict) {
		fail(ctx, fasthttp.StatusGatewayTimeout, "no-verdict", "patch "+string(p.ID)+" may or may not be accepted; ask again by its id")
		return
	}
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	replyVerdict(ctx, v)
}

func (s *Server) verdict(ctx *fasthttp.RequestCtx, id ident.PatchID) {
	v, ok := s.Config.Verdict(id)
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "not-found", "no verdict on patch "+string(id))
		return
	}
	replyVerdict(ctx, v)
}

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
		fail(ctx, fasthttp.StatusBadRequest, "bad-body", err.Error())
		return
	}
	reply(ctx, admin.CheckReply{Problems: s.Config.Check(c.Merge)})
}

func (s *Server) timeline(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	most, err := strconv.Atoi(string(q.Peek("most")))
	if err != nil || most < 1 {
		most = defaultMost
	}
	f := trace.Filter{Request: ident.RequestID(q.Peek("request")), Limit: most}
	reply(ctx, append([]trace.Event{}, s.Ring.Select(f)...))
}

func (s *Server) usage(ctx *fasthttp.RequestCtx) {
	wait, cancel := context.WithTimeout(context.Background(), usageWait)
	defer cancel()
	rows, err := s.Usage(wait)
	if err != nil {
		fail(ctx, fasthttp.StatusServiceUnavailable, "log-down", err.Error())
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
		out = append(out, describe(t.Endpoints[n]))
	}
	return out
}

func describe(e *table.Endpoint) admin.Endpoint {
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
		fail(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func fail(ctx *fasthttp.RequestCtx, status int, code, msg string) {
	raw, _ := json.Marshal(admin.Error{Code: code, Message: msg})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
