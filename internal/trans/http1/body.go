package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/juju/errors"
)

// Framing tells where a body ends.
type Framing int

// Framings of a body.
const (
	// None is a message without a body.
	None Framing = iota
	// Sized is a body of known length.
	Sized
	// Chunked is a body in chunks.
	Chunked
	// ToClose is a body that ends with its connection.
	ToClose
)

const maxTrailer = 4 << 10

// length returns the value of Content-Length.
func (h *Head) length() (n int64, given bool, err error) {
	v, count := h.Get("Content-Length")
	if count == 0 {
		return 0, false, nil
	}
	if count > 1 {
		return 0, true, errors.Annotate(ErrMalformed, "more than one length")
	}
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, true, errors.Annotate(ErrMalformed, "length is not a number")
		}
	}
	n, err = strconv.ParseInt(string(v), 10, 62)
	if err != nil {
		return 0, true, errors.WithType(errors.Annotate(err, "length"), ErrMalformed)
	}
	return n, true, nil
}

// chunked reports whether the body comes in chunks.
func (h *Head) chunked() (bool, error) {
	v, count := h.Get("Transfer-Encoding")
	if count == 0 {
		return false, nil
	}
	if count > 1 || len(v) != len("chunked") || !HasToken(v, "chunked") {
		return false, errors.Annotate(ErrMalformed, "transfer encoding")
	}
	return true, nil
}

// framing returns how the message says that its body ends; ToClose means that
// it doesn't say.
func (h *Head) framing() (Framing, int64, error) {
	inChunks, err := h.chunked()
	if err != nil {
		return None, 0, err
	}
	n, sized, err := h.length()
	switch {
	case err != nil:
		return None, 0, err
	case inChunks && sized:
		return None, 0, errors.Annotate(ErrMalformed, "length and chunks")
	case inChunks:
		return Chunked, 0, nil
	case sized:
		return Sized, n, nil
	}
	return ToClose, 0, nil
}

// NewBody returns a reader of a body that ends with io.EOF only where the
// body is whole.
func NewBody(br *bufio.Reader, f Framing, n int64) io.Reader {
	switch f {
	case None:
		return io.LimitReader(br, 0)
	case Sized:
		return &sized{br, n}
	case Chunked:
		return &chunked{Reader: httputil.NewChunkedReader(br), raw: br}
	}
	return br
}

// sized reads a body of known length; an early end is an error.
type sized struct {
	r    io.Reader
	left int64
}

func (s *sized) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > s.left {
		b = b[:s.left]
	}
	n, err := s.r.Read(b)
	s.left -= int64(n)
	if err == io.EOF && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked reads a chunked body with the trailer that ends it.
type chunked struct {
	io.Reader
	raw  *bufio.Reader
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
	for size := 0; ; {
		line, err := c.raw.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if string(line) == "\r\n" {
			return n, io.EOF
		}
		if size += len(line); size > maxTrailer {
			return n, errors.Annotate(ErrMalformed, "trailer")
		}
	}
}

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(br *bufio.Reader, f Framing, n int64, limit int) ([]byte, error) {
	if f == None || f == Sized && n == 0 {
		return nil, nil
	}
	if n > int64(limit) {
		return nil, ErrBodyTooLong
	}
	if f == Sized {
		b := make([]byte, n)
		_, err := io.ReadFull(br, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(NewBody(br, f, n), int64(limit)+1))
	if err == nil && len(b) > limit {
		return nil, ErrBodyTooLong
	}
	return b, err
}
