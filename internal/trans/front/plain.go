package front

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/ident"
)

// hopHeaders belong to one connection or to this layer and are not passed on.
var hopHeaders = ident.SetOf(
	"Authorization", "Connection", "Content-Length", "Expect", "Host",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Server", "Date",
	RequestIDHeader, OutcomeHeader, TimeLimitHeader, WorkspaceHeader,
)

// plain answers an ordinary request.
func (q *exchange) plain() *serve.Failure {
	if f := q.limit(); f != nil {
		return f
	}
	key, f := q.key()
	if f != nil {
		return f
	}
	body, f := q.body()
	if f != nil {
		return f
	}
	out := q.forward(body)
	defer fasthttp.ReleaseRequest(out)
	ctx, end := q.begin()
	defer end()
	var p *serve.PlainAnswer
	var err error
	if q.req.Route.Idempotent {
		p, err = q.server.Core.DoIdempotent(ctx, q.req, out)
	} else {
		p, err = q.server.Core.DoOnce(ctx, q.req, serve.KeyedRequest{Key: key, Digest: digestOf(out), Outgoing: out})
	}
	if err != nil {
		return serve.AsFailure(err)
	}
	q.pass(p)
	return nil
}

// key returns the idempotency key of a request that needs one.
func (q *exchange) key() (string, *serve.Failure) {
	if q.req.Route.Idempotent {
		return "", nil
	}
	k := string(q.ctx.Request.Header.Peek(KeyHeader))
	if k == "" {
		return "", q.notRun(fasthttp.StatusBadRequest, "key-missing", "this route needs the header "+KeyHeader)
	}
	if len(k) > maxKey {
		return "", q.notRun(fasthttp.StatusBadRequest, "bad-header", KeyHeader+" is longer than "+itoa(maxKey)+" bytes")
	}
	return k, nil
}

// forward builds the request to the endpoint. It shares no memory with the
// caller's request.
func (q *exchange) forward(body []byte) *fasthttp.Request {
	in := &q.ctx.Request
	out := fasthttp.AcquireRequest()
	for k, v := range in.Header.All() {
		if !hopHeaders.Has(string(k)) {
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

// digestOf identifies the content of a request.
func digestOf(r *fasthttp.Request) uint64 {
	d := xxhash.New()
	d.Write(r.Header.Method())
	d.Write([]byte{0})
	d.Write(r.Header.RequestURI())
	d.Write([]byte{0})
	d.Write(r.Body())
	return d.Sum64()
}

// pass sends an endpoint's answer to the caller.
func (q *exchange) pass(p *serve.PlainAnswer) {
	for k, v := range p.Header.All() {
		if !hopHeaders.Has(string(k)) {
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
	q.ended(ident.Answered, "", "")
}
