package conns

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// Errors of a call.
const (
	// ErrNotSent means that no byte of the request can have reached the server.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrNoResponse means that the request may have reached the server, but no
	// valid response header was received.
	ErrNoResponse = errors.ConstError("request was sent, no answer")
	// ErrTruncated means that reading failed before the end of the body.
	ErrTruncated = errors.ConstError("answer was cut")
	// ErrTooLong means that the body is larger than the given limit.
	ErrTooLong = errors.ConstError("answer is too long")
)

// CallIDField is the header field with the ID of a call. Servers copy it into their
// response.
const CallIDField = "Call-Id"

// errOtherCall means that a response is not the one to the call, or can't be told from
// one to an earlier call.
const errOtherCall = errors.ConstError("response to another call")

// maxInterimResponses bounds the interim responses before a response.
const maxInterimResponses = 8

// errManyInterim means that the server sends interim responses and no other.
const errManyInterim = errors.ConstError("too many interim responses")

// errSwitched means that the server changed the protocol, which no call asks for.
const errSwitched = errors.ConstError("server changed the protocol")

// lastCallID is the ID of the last identified call of this process.
var lastCallID atomic.Uint64

// Call is an HTTP request with the options for sending it.
type Call struct {
	Request *fasthttp.Request
	// Fresh requires a new connection.
	Fresh bool
	// OwnConn opens a connection for this call and closes it afterwards. What arrives
	// on it can't be the response to another call, which matters where responses have
	// nothing that tells to which request they belong.
	OwnConn bool
	// Identified sends an ID in CallIDField, with which the response must come if the
	// connection carried another call before. If the server doesn't copy IDs, the
	// connection is closed after the call.
	Identified bool
	// HeaderTimeout bounds the wait for the header of the response. If it is
	// zero, only the context does.
	HeaderTimeout time.Duration
}

// Response is an HTTP response whose header has been read; Read reads its body.
// Close must be called.
type Response struct {
	Status int
	Header fasthttp.ResponseHeader
	// ReadTimeout bounds each Read. If it is zero, only the context does.
	ReadTimeout time.Duration

	ctx  context.Context
	pool *Pool
	conn *conn
	body io.Reader
	// ownConn is set if the connection is closed after the call.
	ownConn bool
	// stopWatching stops watching the context. It returns false if the context
	// has ended, which has set a deadline in the past.
	stopWatching func() bool
	// atEOF is set once the body has been read completely.
	atEOF bool
}

// Do sends a request and waits for the header of the response. Errors wrap
// ErrNotSent or ErrNoResponse. If the context ends, reads and writes on the
// connection fail.
func (p *Pool) Do(ctx context.Context, c Call) (*Response, error) {
	cn, err := p.get(ctx, c.Fresh || c.OwnConn)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "connect"), ErrNotSent)
	}
	stopWatching := context.AfterFunc(ctx, func() { cn.SetDeadline(Expired) })
	r, err := p.roundTrip(ctx, cn, c)
	if err != nil {
		stopWatching()
		cn.Close()
		return nil, errors.WithType(errors.Annotate(err, "exchange"), ErrNoResponse)
	}
	r.stopWatching = stopWatching
	return r, nil
}

func (p *Pool) roundTrip(ctx context.Context, cn *conn, c Call) (*Response, error) {
	if c.OwnConn {
		c.Request.SetConnectionClose()
	}
	var id []byte
	if c.Identified {
		id = strconv.AppendUint(nil, lastCallID.Add(1), 10)
		c.Request.Header.SetBytesV(CallIDField, id)
	}
	if err := c.Request.Write(cn.writer); err != nil {
		return nil, err
	}
	if err := cn.writer.Flush(); err != nil {
		return nil, err
	}
	r := &Response{ctx: ctx, pool: p, conn: cn, ownConn: c.OwnConn}
	if c.HeaderTimeout > 0 {
		r.SetReadDeadline(time.Now().Add(c.HeaderTimeout))
	}
	if err := r.readHeader(); err != nil {
		return nil, err
	}
	if c.Identified {
		if err := r.checkID(id); err != nil {
			return nil, err
		}
	}
	r.SetReadDeadline(time.Time{})
	r.Status = r.Header.StatusCode()
	r.body = r.bodyReader(c.Request.Header.IsHead())
	return r, nil
}

// readHeader reads the header of the response and skips interim responses before it.
func (r *Response) readHeader() error {
	for range maxInterimResponses + 1 {
		// fasthttp takes any three digits for a status, and reports 000 as 200.
		line, err := r.conn.reader.Peek(http1.StatusBytes)
		if err != nil {
			return err
		}
		status, err := http1.ParseStatus(line)
		if err != nil {
			return err
		}
		if err := r.Header.Read(r.conn.reader); err != nil {
			return err
		}
		switch {
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitched
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errManyInterim
}

// checkID returns an error unless the response is the one to the call with an ID. The
// first response on a connection is, also if the server doesn't copy IDs.
func (r *Response) checkID(id []byte) error {
	copied := r.Header.Peek(CallIDField)
	if bytes.Equal(copied, id) {
		return nil
	}
	if len(copied) > 0 || r.conn.reused {
		return errOtherCall
	}
	r.ownConn = true
	return nil
}

// bodyReader returns a reader that ends at the end of the body. If the body ends
// only when the connection is closed, bodyReader sets openedAt to zero, which
// marks the connection as not reusable.
func (r *Response) bodyReader(head bool) io.Reader {
	n := r.Header.ContentLength()
	switch {
	case head || r.Status == fasthttp.StatusNoContent || r.Status == fasthttp.StatusNotModified:
		return io.LimitReader(r.conn.reader, 0)
	case n >= 0:
		return http1.NewBodyReader(r.conn.reader, http1.Sized, int64(n))
	case n == -1:
		return http1.NewBodyReader(r.conn.reader, http1.Chunked, 0)
	default:
		r.conn.openedAt = time.Time{}
		return r.conn.reader
	}
}

// Read reads the body. It returns ErrTruncated if reading fails before the end of
// the body.
func (r *Response) Read(b []byte) (int, error) {
	if r.ReadTimeout > 0 {
		r.SetReadDeadline(time.Now().Add(r.ReadTimeout))
	}
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.atEOF = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.WithType(err, ErrTruncated)
	}
	return n, nil
}

// ReadAll reads the whole body. It returns ErrTooLong if the body has more than
// limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLong
	}
	if !r.atEOF {
		var one [1]byte
		if _, err := r.Read(one[:]); err != io.EOF {
			return nil, ErrTruncated
		}
	}
	return b, nil
}

// ReadError reads the body of an error response, or returns nil if that fails or if
// the body is too long.
func (r *Response) ReadError() []byte {
	b, _ := r.ReadAll(maxErrorBodyBytes)
	return b
}

// SetReadDeadline sets the deadline of reads from the connection. If it is zero,
// only the context bounds them.
func (r *Response) SetReadDeadline(t time.Time) {
	r.conn.SetReadDeadline(t)
	if r.ctx.Err() != nil {
		r.conn.SetReadDeadline(Expired)
	}
}

// Interrupt makes a blocked Read return an error. It is safe for concurrent use.
func (r *Response) Interrupt() { r.conn.SetDeadline(Expired) }

// Close returns the connection to its pool if the body was read completely and
// the connection can be reused. Otherwise it closes the connection.
func (r *Response) Close() {
	intact := r.stopWatching()
	if r.atEOF && intact && !r.ownConn && !r.Header.ConnectionClose() && !r.conn.openedAt.IsZero() {
		r.pool.put(r.conn)
		return
	}
	r.conn.Close()
}
