// Package httpd provides HTTP servers for the stand-ins.
package httpd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	maxBodyBytes = 64 << 20
	idleTimeout  = time.Minute
)

// Listen opens a listener on *addr and sets *addr to the actual address, which
// has the chosen port if the port was 0.
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
	Handler fasthttp.RequestHandler
	// Listener is set before Run, by Listen or by the user of the server.
	Listener *flaky.Listener
}

// Listen opens a listener on *addr, as the function Listen does.
func (s *Server) Listen(addr *string) (err error) {
	s.Listener, err = Listen(addr)
	return err
}

// Run serves requests until the context ends or the listener crashes. Both reset
// the connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Listener.Crash)
	defer stop()
	err := newServer(s.Handler).Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// newServer returns a fasthttp server with the limits of all stand-ins. It doesn't
// log and sends no Date header.
func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            copyCallID(h),
		MaxRequestBodySize: maxBodyBytes,
		IdleTimeout:        idleTimeout,
		Logger:             discardLogger{},
		NoDefaultDate:      true,
		CloseOnShutdown:    true,
	}
}

// copyCallID returns a handler that copies the ID of a call into its response.
func copyCallID(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if id := ctx.Request.Header.Peek(conns.CallIDField); len(id) > 0 {
			ctx.Response.Header.SetBytesV(conns.CallIDField, id)
		}
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

// ErrorBody is the JSON body of a stand-in's error response.
type ErrorBody struct {
	// Code identifies the error for programs.
	Code string
	// Message describes the error for people.
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
