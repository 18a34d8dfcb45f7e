// Package httpd provides HTTP servers for the stand-ins.
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

// Listen opens a listener on the address in addr and replaces it with the actual
// address, which has the chosen port if the port was 0.
func Listen(addr *string) (*flaky.Listener, error) {
	l, err := flaky.Listen(*addr)
	if err != nil {
		return nil, err
	}
	*addr = l.Addr().String()
	return l, nil
}

// Server serves HTTP on a listener with which connection failures can be injected.
type Server struct {
	Handler  fasthttp.RequestHandler
	Listener *flaky.Listener
}

// Run serves requests until the context ends, then resets all connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Listener.Crash)
	defer stop()
	err := NewQuietServer(s.Handler).Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// NewQuietServer returns a fasthttp server that doesn't log.
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

// WriteJSON responds with a status and a value encoded as JSON.
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

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code    string
	Message string
}

// WriteError responds with a status and an ErrorBody.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, msg string) {
	WriteJSON(ctx, status, ErrorBody{Code: code, Message: msg})
}

// DecodeBody decodes the JSON body of the request into v. If that fails, it
// responds with status 400 and returns false.
func DecodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil && err != io.EOF {
		WriteError(ctx, fasthttp.StatusBadRequest, "bad-body", err.Error())
		return false
	}
	return true
}
