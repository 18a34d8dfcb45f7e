package front

import (
	"io"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Values of fasthttp's ContentLength for requests without a content length.
const (
	chunkedBody = -1
	noBody      = -2
)

// receiveBody reads the whole body. The returned slice doesn't alias the buffers
// of the request, so it stays valid after the request ends.
func (q *exchange) receiveBody() ([]byte, *serve.Failure) {
	l := q.req.Table.Document.Limits
	n := int64(q.ctx.Request.Header.ContentLength())
	limit := int64(l.BodyBytes)
	if n > limit {
		return nil, q.tooLargeFailure(l.BodyBytes)
	}
	switch n {
	case chunkedBody:
		// The length is unknown, so memory for the largest body is reserved.
		n = limit
	case noBody:
		n = 0
	}
	if !q.server.bodyMemory.Reserve(n, int64(l.MemoryBytes)) {
		return nil, &serve.Failure{
			Status: fasthttp.StatusServiceUnavailable, Code: "memory-full",
			Message: "the node holds too many request bodies", Outcome: ident.NotRun, RetryAfter: bodyRetryAfter,
		}
	}
	q.releaseMemory = func() { q.server.bodyMemory.Release(n) }
	return q.readBody(n)
}

func (q *exchange) tooLargeFailure(limit ident.Bytes) *serve.Failure {
	f := q.notRunFailure(fasthttp.StatusRequestEntityTooLarge, "body-too-large", "")
	f.Message = "body is larger than the limit of " + itoa(int64(limit)) + " bytes"
	return f
}

// readBody reads the body, which may have up to n bytes.
func (q *exchange) readBody(n int64) ([]byte, *serve.Failure) {
	r := q.ctx.RequestBodyStream()
	if r == nil {
		return append([]byte(nil), q.ctx.PostBody()...), nil
	}
	lengthKnown := q.ctx.Request.Header.ContentLength() >= 0
	b, err := readUpTo(r, n, lengthKnown)
	if err != nil {
		return nil, q.notRunFailure(fasthttp.StatusBadRequest, "body-cut", "the body ended early")
	}
	if int64(len(b)) > n {
		return nil, q.tooLargeFailure(ident.Bytes(n))
	}
	return b, nil
}

// readUpTo reads a body of n bytes if its length is known. Otherwise it reads
// up to n+1 bytes, so that the caller can detect a longer body.
func readUpTo(r io.Reader, n int64, lengthKnown bool) ([]byte, error) {
	if lengthKnown {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r, n+1))
}
