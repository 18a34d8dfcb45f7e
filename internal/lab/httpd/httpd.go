// Package httpd serves the HTTP interfaces of the stand-ins.
package httpd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
)

const (
	maxBody     = 64 << 20
	idleTimeout = time.Minute
)

// Listen opens a listener and puts its address, with the port that was chosen,
// back into addr.
func Listen(addr *string) (*flaky.Listener, error) {
	l, err := flaky.Listen(*addr)
	if err != nil {
		return nil, err
	}
	*addr = l.Addr().String()
	return l, nil
}

// Server is one HTTP interface on a listener that can fail on command.
type Server struct {
	Handler  fasthttp.RequestHandler
	Listener *flaky.Listener
}

// Run serves until the context ends, then cuts all connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Listener.Crash)
	defer stop()
	err := Quiet(s.Handler).Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Quiet returns a server that logs nothing.
func Quiet(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            h,
		MaxRequestBodySize: maxBody,
		IdleTimeout:        idleTimeout,
		Logger:             silent{},
		NoDefaultDate:      true,
		CloseOnShutdown:    true,
	}
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Reply answers with a JSON value.
func Reply(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// Failure is the body of an error answer.
type Failure struct {
	Code    string
	Message string
}

// Fail answers with an error.
func Fail(ctx *fasthttp.RequestCtx, status int, code, msg string) {
	Reply(ctx, status, Failure{Code: code, Message: msg})
}

// Decode reads the body as JSON into v, or answers 400 and returns false.
func Decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil && err != io.EOF {
		Fail(ctx, fasthttp.StatusBadRequest, "bad-body", err.Error())
		return false
	}
	return true
}
