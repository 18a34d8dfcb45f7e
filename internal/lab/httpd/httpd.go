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
	err := NewQuietServer(s.Handler).Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// NewQuietServer returns a server that logs nothing.
func NewQuietServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            h,
		MaxRequestBodySize: maxBody,
		IdleTimeout:        idleTimeout,
		Logger:             discardLogger{},
		NoDefaultDate:      true,
		CloseOnShutdown:    true,
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// WriteJSON answers with a JSON value.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Code    string
	Message string
}

// WriteError answers with an error.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, msg string) {
	WriteJSON(ctx, status, ErrorBody{Code: code, Message: msg})
}

// DecodeBody reads the body as JSON into v, or answers 400 and returns false.
func DecodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil && err != io.EOF {
		WriteError(ctx, fasthttp.StatusBadRequest, "bad-body", err.Error())
		return false
	}
	return true
}
