package front

import (
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/ident"
)

// budget bounds the bytes of bodies in memory.
type budget struct {
	used atomic.Int64
}

func (b *budget) take(n, most int64) bool {
	if b.used.Add(n) > most {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.used.Add(-n) }

// Content lengths that fasthttp gives to requests without one.
const (
	chunkedBody = -1
	noBody      = -2
)

// body reads the whole body into memory that outlives the exchange.
func (q *exchange) body() ([]byte, *serve.Failure) {
	l := q.req.Table.Document.Limits
	n := int64(q.ctx.Request.Header.ContentLength())
	most := int64(l.BodyBytes)
	if n > most {
		return nil, q.tooLarge(l.BodyBytes)
	}
	switch n {
	case chunkedBody:
		n = most
	case noBody:
		n = 0
	}
	if !q.server.memory.take(n, int64(l.MemoryBytes)) {
		return nil, &serve.Failure{
			Status: fasthttp.StatusServiceUnavailable, Code: "memory-full",
			Message: "the node holds too many request bodies", Outcome: ident.NotRun, RetryAfter: bodyRetry,
		}
	}
	q.release = func() { q.server.memory.give(n) }
	return q.readBody(n)
}

func (q *exchange) tooLarge(most ident.Bytes) *serve.Failure {
	f := q.notRun(fasthttp.StatusRequestEntityTooLarge, "body-too-large", "")
	f.Message = "body is larger than the limit of " + itoa(int64(most)) + " bytes"
	return f
}

// readBody reads up to n bytes.
func (q *exchange) readBody(n int64) ([]byte, *serve.Failure) {
	r := q.ctx.RequestBodyStream()
	if r == nil {
		return append([]byte(nil), q.ctx.PostBody()...), nil
	}
	known := q.ctx.Request.Header.ContentLength() >= 0
	b, err := readUpTo(r, n, known)
	if err != nil {
		return nil, q.notRun(fasthttp.StatusBadRequest, "body-cut", "the body ended early")
	}
	if int64(len(b)) > n {
		return nil, q.tooLarge(ident.Bytes(n))
	}
	return b, nil
}

// readUpTo reads a body of known length, or one of unknown length with at
// most one byte beyond n.
func readUpTo(r io.Reader, n int64, known bool) ([]byte, error) {
	if known {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r, n+1))
}
