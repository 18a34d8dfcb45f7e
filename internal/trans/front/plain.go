package front

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/ident"
)

// strippedHeaders are not forwarded: they apply to a single connection, are set
// by the node itself, or, like Authorization, are meant for the node only.
var strippedHeaders = ident.SetOf(
	"Authorization", "Connection", "Content-Length", "Expect", "Host",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Server", "Date",
	RequestIDHeader, OutcomeHeader, TimeLimitHeader, WorkspaceHeader, conns.CallIDField,
)

// servePlain serves a request on a plain HTTP route.
func (q *exchange) servePlain() *serve.Failure {
	if f := q.setDeadline(); f != nil {
		return f
	}
	key, f := q.idempotencyKey()
	if f != nil {
		return f
	}
	body, f := q.receiveBody()
	if f != nil {
		return f
	}
	if f := q.checkEnd(); f != nil {
		return f
	}
	out := q.outgoingRequest(body)
	defer fasthttp.ReleaseRequest(out)
	ctx, end := q.register()
	defer end()
	var p *serve.PlainResponse
	var err error
	if q.req.Route.Idempotent {
		p, err = q.server.Core.DoIdempotent(ctx, q.req, out)
	} else {
		p, err = q.server.Core.DoOnce(ctx, q.req, serve.KeyedRequest{Key: key, Digest: digestOf(out), Outgoing: out})
	}
	if err != nil {
		return serve.AsFailure(err)
	}
	q.sendResponse(p)
	return nil
}

// idempotencyKey returns the idempotency key of a request, or an empty string
// if its route needs none.
func (q *exchange) idempotencyKey() (string, *serve.Failure) {
	if q.req.Route.Idempotent {
		return "", nil
	}
	k := string(q.ctx.Request.Header.Peek(IdempotencyKeyHeader))
	if k == "" {
		return "", q.notRunFailure(fasthttp.StatusBadRequest, "key-missing", "this route needs the header "+IdempotencyKeyHeader)
	}
	if len(k) > maxIdempotencyKeyBytes {
		return "", q.notRunFailure(fasthttp.StatusBadRequest, "bad-header", IdempotencyKeyHeader+" is longer than "+itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	return k, nil
}

// outgoingRequest builds the request to the endpoint. It shares no memory with
// the caller's request.
func (q *exchange) outgoingRequest(body []byte) *fasthttp.Request {
	in := &q.ctx.Request
	out := fasthttp.AcquireRequest()
	for k, v := range in.Header.All() {
		if !strippedHeaders.Has(string(k)) {
			out.Header.AddBytesKV(k, v)
		}
	}
	out.Header.SetMethodBytes(in.Header.Method())
	out.SetRequestURIBytes(in.URI().RequestURI())
	out.Header.SetHostBytes(in.Host())
	out.Header.Set(RequestIDHeader, string(q.id))
	out.Header.Set(WorkspaceHeader, string(q.req.Workspace))
	out.SetBodyRaw(body)
	return out
}

// digestOf returns a digest of a request's method, URI and body.
func digestOf(r *fasthttp.Request) uint64 {
	d := xxhash.New()
	d.Write(r.Header.Method())
	d.Write([]byte{0})
	d.Write(r.Header.RequestURI())
	d.Write([]byte{0})
	d.Write(r.Body())
	return d.Sum64()
}

// sendResponse sends the response of an endpoint to the caller.
func (q *exchange) sendResponse(p *serve.PlainResponse) {
	for k, v := range p.Header.All() {
		if !strippedHeaders.Has(string(k)) {
			q.ctx.Response.Header.AddBytesKV(k, v)
		}
	}
	q.ctx.Response.Header.Set(OutcomeHeader, string(ident.Answered))
	q.ctx.SetStatusCode(p.Status)
	if q.ctx.IsHead() {
		q.ctx.Response.SkipBody = true
		q.ctx.Response.Header.SetContentLength(p.Header.ContentLength())
	} else {
		q.ctx.SetBody(p.Body)
	}
	q.recordEnd(ident.Answered, "", "")
}
