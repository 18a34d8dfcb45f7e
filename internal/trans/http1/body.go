package http1

import (
	"bufio"
	"io"
	"math"
	"net/http/httputil"
	"strconv"

	"github.com/juju/errors"
)

// Framing is how the end of a body is determined.
type Framing int

// Framings of a body.
const (
	// None means that there is no body.
	None Framing = iota
	// Sized means that the length of the body is known.
	Sized
	// Chunked means that the body is sent in chunks.
	Chunked
	// UntilClose means that the body ends when the connection is closed.
	UntilClose
)

// maxTrailer bounds the trailer of a chunked body in bytes.
const maxTrailer = 4 << 10

// contentLength returns the value of Content-Length, and whether the header
// has that field.
func (h *Head) contentLength() (n int64, given bool, err error) {
	v, count := h.Get("Content-Length")
	if count == 0 {
		return 0, false, nil
	}
	if count > 1 {
		return 0, true, errors.Annotate(ErrMalformed, "more than one Content-Length")
	}
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, true, errors.Annotate(ErrMalformed, "Content-Length is not a number")
		}
	}
	n, err = strconv.ParseInt(string(v), 10, 62)
	if err != nil {
		return 0, true, errors.WithType(errors.Annotate(err, "Content-Length"), ErrMalformed)
	}
	return n, true, nil
}

// isChunked reports whether the body is chunked. Other transfer encodings are
// errors.
func (h *Head) isChunked() (bool, error) {
	v, count := h.Get("Transfer-Encoding")
	if count == 0 {
		return false, nil
	}
	if count > 1 || len(v) != len("chunked") || !HasToken(v, "chunked") {
		return false, errors.Annotate(ErrMalformed, "unsupported Transfer-Encoding")
	}
	return true, nil
}

// framing returns the framing that the header declares, and the length of a
// Sized body. UntilClose means that the header declares none.
func (h *Head) framing() (Framing, int64, error) {
	isChunked, err := h.isChunked()
	if err != nil {
		return None, 0, err
	}
	n, hasLength, err := h.contentLength()
	switch {
	case err != nil:
		return None, 0, err
	case isChunked && hasLength:
		return None, 0, errors.Annotate(ErrMalformed, "both Content-Length and chunked")
	case isChunked:
		return Chunked, 0, nil
	case hasLength:
		return Sized, n, nil
	}
	return UntilClose, 0, nil
}

// NewBodyReader returns a reader of a body. The reader returns io.EOF only at the
// end of a complete body. With UntilClose, any end of the connection counts as
// the end of the body.
func NewBodyReader(br *bufio.Reader, framing Framing, length int64) io.Reader {
	switch framing {
	case None:
		return io.LimitReader(br, 0)
	case Sized:
		return &sizedReader{br, length}
	case Chunked:
		return &chunkedReader{Reader: httputil.NewChunkedReader(br), source: br}
	}
	return br
}

// sizedReader reads a body of known length. If the body ends early, it returns
// io.ErrUnexpectedEOF.
type sizedReader struct {
	r         io.Reader
	remaining int64
}

func (s *sizedReader) Read(b []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > s.remaining {
		b = b[:s.remaining]
	}
	n, err := s.r.Read(b)
	s.remaining -= int64(n)
	if err == io.EOF && s.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body, and then discards the trailer that ends
// it.
type chunkedReader struct {
	io.Reader
	source *bufio.Reader
	done   bool
}

func (c *chunkedReader) Read(b []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.Reader.Read(b)
	if errors.Is(err, httputil.ErrLineTooLong) {
		return n, errors.WithType(errors.Annotate(ErrEndless, "length of a chunk"), ErrMalformed)
	}
	if err != io.EOF {
		return n, err
	}
	c.done = true
	for size := 0; ; {
		line, err := c.source.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if string(line) == "\r\n" {
			return n, io.EOF
		}
		if size += len(line); size > maxTrailer {
			return n, errors.WithType(errors.Annotate(ErrEndless, "trailer"), ErrMalformed)
		}
	}
}

// ReadBody reads a whole body. It returns ErrBodyTooLong if the body has more
// than limit bytes.
func ReadBody(br *bufio.Reader, framing Framing, length int64, limit int) ([]byte, error) {
	if framing == None || framing == Sized && length == 0 {
		return nil, nil
	}
	if length > int64(limit) {
		return nil, ErrBodyTooLong
	}
	if framing == Sized {
		b := make([]byte, length)
		_, err := io.ReadFull(br, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(NewBodyReader(br, framing, length), int64(min(limit, math.MaxInt-1))+1))
	if err == nil && len(b) > limit {
		return nil, ErrBodyTooLong
	}
	return b, err
}
