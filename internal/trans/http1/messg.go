package http1

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// Request is the start line and the header of a caller's request.
type Request struct {
	Head
	Method, Target []byte
	Host           string
	// Close is set if the caller will not use the connection again.
	Close bool
	// ExpectContinue is set if the caller waits for status 100 before it sends
	// the body.
	ExpectContinue bool
	Framing        Framing
	// Length is the length of a Sized body in bytes.
	Length int64
}

// Path returns the target without its query.
func (r *Request) Path() string {
	p, _, _ := bytes.Cut(r.Target, []byte{'?'})
	return string(p)
}

// ReadRequest reads and checks the header of a request.
func ReadRequest(br *bufio.Reader, limit int) (*Request, error) {
	h, err := ReadHead(br, limit)
	if err != nil {
		return nil, err
	}
	r := &Request{Head: *h}
	if err := r.parseRequestLine(); err != nil {
		return nil, err
	}
	host, n := h.Get("Host")
	if n != 1 || len(host) == 0 {
		return nil, errors.Annotate(ErrMalformed, "missing, empty or repeated Host")
	}
	r.Host = string(host)
	r.Framing, r.Length, err = h.framing()
	if err != nil {
		return nil, err
	}
	if r.Framing == UntilClose {
		r.Framing = None
	}
	r.Close = h.connectionHas("close")
	e, _ := h.Get("Expect")
	r.ExpectContinue = HasToken(e, "100-continue")
	return r, nil
}

func (r *Request) parseRequestLine() error {
	parts := bytes.Split(r.StartLine, []byte{' '})
	if len(parts) != 3 || len(parts[0]) == 0 || string(parts[2]) != "HTTP/1.1" {
		return errors.Annotate(ErrMalformed, "invalid request line")
	}
	for _, c := range parts[0] {
		if !isTokenChar(c) {
			return errors.Annotate(ErrMalformed, "invalid method")
		}
	}
	if len(parts[1]) == 0 || parts[1][0] != '/' {
		return errors.Annotate(ErrMalformed, "invalid target")
	}
	for _, c := range parts[1] {
		if c <= ' ' || c == 0x7f {
			return errors.Annotate(ErrMalformed, "invalid target")
		}
	}
	r.Method, r.Target = parts[0], parts[1]
	return nil
}

// Response is the status line and the header of an endpoint's response.
type Response struct {
	Head
	Status int
	// StatusAndReason is the rest of the status line after the version.
	StatusAndReason []byte
	// Close is set if the connection can't be used after the response.
	Close   bool
	Framing Framing
	// Length is the length of a Sized body in bytes.
	Length int64
}

// maxInterimResponses is the largest number of interim responses that ReadResponse
// skips.
const maxInterimResponses = 16

// ReadResponse reads and checks the header of the response to a request with
// the given method. It skips interim responses.
func ReadResponse(br *bufio.Reader, limit int, method string) (*Response, error) {
	for range maxInterimResponses + 1 {
		h, err := ReadHead(br, limit)
		if err != nil {
			return nil, err
		}
		r := &Response{Head: *h}
		if err := r.parseStatusLine(); err != nil {
			return nil, err
		}
		if r.Status >= 100 && r.Status < 200 {
			continue
		}
		return r, r.setFraming(method)
	}
	return nil, errors.WithType(errors.Annotate(ErrEndless, "too many interim responses"), ErrMalformed)
}

// StatusBytes is the number of bytes of a status line up to the end of the status.
const StatusBytes = len("HTTP/1.1 200")

// ParseStatus returns the status in the first StatusBytes bytes of a status line.
func ParseStatus(b []byte) (int, error) {
	if len(b) != StatusBytes || !bytes.HasPrefix(b, []byte("HTTP/1.")) || b[8] != ' ' {
		return 0, errors.Annotate(ErrMalformed, "invalid status line")
	}
	n, err := strconv.Atoi(string(b[9:]))
	if err != nil || n < 100 || n > 599 {
		return 0, errors.Annotate(ErrMalformed, "invalid status code")
	}
	return n, nil
}

func (r *Response) parseStatusLine() (err error) {
	s := r.StartLine
	if len(s) < StatusBytes || len(s) > StatusBytes && s[StatusBytes] != ' ' {
		return errors.Annotate(ErrMalformed, "invalid status line")
	}
	r.Status, err = ParseStatus(s[:StatusBytes])
	r.StatusAndReason = s[9:]
	return err
}

func (r *Response) setFraming(method string) error {
	var err error
	r.Framing, r.Length, err = r.framing()
	if err != nil {
		return err
	}
	if method == "HEAD" || r.Status == 204 || r.Status == 304 {
		r.Framing = None
	}
	r.Close = r.connectionHas("close") || r.Framing == UntilClose || r.StartLine[7] == '0'
	return nil
}
