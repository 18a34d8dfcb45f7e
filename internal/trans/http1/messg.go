package http1

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// Request is the header of a caller's request.
type Request struct {
	Head
	Method, Target []byte
	Host           string
	// Close tells that the caller uses the connection no more.
	Close bool
	// Continue tells that the caller waits for leave to send the body.
	Continue bool
	Framing  Framing
	Length   int64
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
	if err := r.startLine(); err != nil {
		return nil, err
	}
	host, n := h.Get("Host")
	if n != 1 || len(host) == 0 {
		return nil, errors.Annotate(ErrMalformed, "host")
	}
	r.Host = string(host)
	r.Framing, r.Length, err = h.framing()
	if err != nil {
		return nil, err
	}
	if r.Framing == ToClose {
		r.Framing = None
	}
	c, _ := h.Get("Connection")
	r.Close = HasToken(c, "close")
	e, _ := h.Get("Expect")
	r.Continue = HasToken(e, "100-continue")
	return r, nil
}

func (r *Request) startLine() error {
	parts := bytes.Split(r.Start, []byte{' '})
	if len(parts) != 3 || len(parts[0]) == 0 || string(parts[2]) != "HTTP/1.1" {
		return errors.Annotate(ErrMalformed, "request line")
	}
	for _, c := range parts[0] {
		if !isToken(c) {
			return errors.Annotate(ErrMalformed, "method")
		}
	}
	if len(parts[1]) == 0 || parts[1][0] != '/' {
		return errors.Annotate(ErrMalformed, "target")
	}
	for _, c := range parts[1] {
		if c <= ' ' || c == 0x7f {
			return errors.Annotate(ErrMalformed, "target")
		}
	}
	r.Method, r.Target = parts[0], parts[1]
	return nil
}

// Response is the header of an endpoint's answer.
type Response struct {
	Head
	Status int
	// Reason is the status line after the version.
	Reason []byte
	// Close tells that the endpoint closes the connection after the answer.
	Close   bool
	Framing Framing
	Length  int64
}

// ReadResponse reads and checks the header of the answer to a request with
// the given method. Interim answers are passed over.
func ReadResponse(br *bufio.Reader, limit int, method string) (*Response, error) {
	for {
		h, err := ReadHead(br, limit)
		if err != nil {
			return nil, err
		}
		r := &Response{Head: *h}
		if err := r.startLine(); err != nil {
			return nil, err
		}
		if r.Status >= 100 && r.Status < 200 {
			continue
		}
		return r, r.frame(method)
	}
}

func (r *Response) startLine() error {
	s := r.Start
	if len(s) < 12 || !bytes.HasPrefix(s, []byte("HTTP/1.")) || s[8] != ' ' || len(s) > 12 && s[12] != ' ' {
		return errors.Annotate(ErrMalformed, "status line")
	}
	n, err := strconv.Atoi(string(s[9:12]))
	if err != nil || n < 100 || n > 599 {
		return errors.Annotate(ErrMalformed, "status")
	}
	r.Status = n
	r.Reason = s[9:]
	return nil
}

func (r *Response) frame(method string) error {
	var err error
	r.Framing, r.Length, err = r.framing()
	if err != nil {
		return err
	}
	if method == "HEAD" || r.Status == 204 || r.Status == 304 {
		r.Framing = None
	}
	c, _ := r.Get("Connection")
	r.Close = HasToken(c, "close") || r.Framing == ToClose || r.Start[7] == '0'
	return nil
}
