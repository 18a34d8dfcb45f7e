package conns

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// Errors of a call.
const (
	// ErrNotSent means that no byte of the request can have arrived.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrSent means that the request may have arrived, with no answer.
	ErrSent = errors.ConstError("request was sent, no answer")
	// ErrCut means that the answer ended before its end.
	ErrCut = errors.ConstError("answer was cut")
	// ErrTooLong means that the answer is larger than its bound.
	ErrTooLong = errors.ConstError("answer is too long")
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Call is one HTTP request to a back end.
type Call struct {
	Request *fasthttp.Request
	// Fresh demands a new connection.
	Fresh bool
	// HeaderTimeout bounds the wait for the answer's header; zero waits as
	// long as the context allows.
	HeaderTimeout time.Duration
}

// Reply is an answer whose body is read from it. Close must be called.
type Reply struct {
	Status int
	Header fasthttp.ResponseHeader

	ctx  context.Context
	pool *Pool
	conn *conn
	body io.Reader
	stop func() bool
	done bool
}

// Do sends a call and waits for the header of the answer. Errors wrap
// ErrNotSent or ErrSent. The end of the context cuts the connection.
func (p *Pool) Do(ctx context.Context, c Call) (*Reply, error) {
	cn, err := p.get(ctx, c.Fresh)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "connect"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(past) })
	r, err := p.exchange(ctx, cn, c)
	if err != nil {
		stop()
		cn.Close()
		return nil, errors.WithType(errors.Annotate(err, "exchange"), ErrSent)
	}
	r.stop = stop
	return r, nil
}

func (p *Pool) exchange(ctx context.Context, cn *conn, c Call) (*Reply, error) {
	if err := c.Request.Write(cn.writer); err != nil {
		return nil, err
	}
	if err := cn.writer.Flush(); err != nil {
		return nil, err
	}
	r := &Reply{ctx: ctx, pool: p, conn: cn}
	if c.HeaderTimeout > 0 {
		r.SetReadDeadline(time.Now().Add(c.HeaderTimeout))
	}
	if err := r.Header.Read(cn.reader); err != nil {
		return nil, err
	}
	r.SetReadDeadline(time.Time{})
	r.Status = r.Header.StatusCode()
	r.body = r.framed(c.Request.Header.IsHead())
	return r, nil
}

// framed returns a reader that ends with the answer's body.
func (r *Reply) framed(head bool) io.Reader {
	n := r.Header.ContentLength()
	switch {
	case head || r.Status == fasthttp.StatusNoContent || r.Status == fasthttp.StatusNotModified:
		return io.LimitReader(r.conn.reader, 0)
	case n >= 0:
		return http1.NewBodyReader(r.conn.reader, http1.Sized, int64(n))
	case n == -1:
		return http1.NewBodyReader(r.conn.reader, http1.Chunked, 0)
	default:
		r.conn.born = time.Time{}
		return r.conn.reader
	}
}

// Read reads the body. An early end gives ErrCut.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.done = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.WithType(err, ErrCut)
	}
	return n, nil
}

// ReadAll reads the whole body, up to a bound.
func (r *Reply) ReadAll(most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > most {
		return nil, ErrTooLong
	}
	if !r.done {
		var one [1]byte
		if _, err := r.Read(one[:]); err != io.EOF {
			return nil, ErrCut
		}
	}
	return b, nil
}

// ReadError reads the start of an error answer's body.
func (r *Reply) ReadError() []byte {
	b, _ := r.ReadAll(maxErrorBody)
	return b
}

// SetReadDeadline bounds the wait for the next bytes; the zero time sets no
// bound but the context's.
func (r *Reply) SetReadDeadline(t time.Time) {
	r.conn.SetReadDeadline(t)
	if r.ctx.Err() != nil {
		r.conn.SetReadDeadline(past)
	}
}

// Cut ends a Read that waits; it is safe for concurrent use.
func (r *Reply) Cut() { r.conn.SetDeadline(past) }

// Close returns the connection to its pool if the answer was read to its
// end, and closes it otherwise.
func (r *Reply) Close() {
	intact := r.stop()
	if r.done && intact && !r.Header.ConnectionClose() && !r.conn.born.IsZero() {
		r.pool.put(r.conn)
		return
	}
	r.conn.Close()
}
