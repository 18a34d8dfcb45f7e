package conns

import (
	"context"
	"io"
	"net/http/httputil"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
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
		return &exact{r.conn.reader, int64(n)}
	case n == -1:
		return &chunked{Reader: httputil.NewChunkedReader(r.conn.reader), raw: r.conn}
	default:
		r.conn.born = time.Time{}
		return r.conn.reader
	}
}

// exact reads a body of known length; an early end is an error.
type exact struct {
	r    io.Reader
	left int64
}

func (e *exact) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > e.left {
		b = b[:e.left]
	}
	n, err := e.r.Read(b)
	e.left -= int64(n)
	if err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && e.left == 0 {
		err = io.EOF
	}
	return n, err
}

// chunked reads a chunked body with the empty line that ends it.
type chunked struct {
	io.Reader
	raw  *conn
	done bool
}

func (c *chunked) Read(b []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.Reader.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.done = true
	line, err := c.raw.reader.ReadString('\n')
	if err != nil || line != "\r\n" {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
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
