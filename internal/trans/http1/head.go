// Package http1 reads and checks the messages of HTTP/1.1 as they stand on
// the wire, so that a node passes on the bytes that it was given. It is
// strict: what two readers could take differently is an error.
package http1

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/juju/errors"
)

// Errors of messages.
const (
	// ErrMalformed means that bytes are no message.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrHeaderTooLong means that a header is over its limit.
	ErrHeaderTooLong = errors.ConstError("header is too long")
	// ErrBodyTooLong means that a body is over its limit.
	ErrBodyTooLong = errors.ConstError("body is too long")
)

// Field is one line of a header. Its slices point into the header's memory.
type Field struct {
	Name, Value []byte
}

// Is reports whether the field has a name, whatever its case.
func (f Field) Is(name string) bool {
	return len(f.Name) == len(name) && bytes.EqualFold(f.Name, []byte(name))
}

// Head is the first line and the fields of a message.
type Head struct {
	// Start is the first line without its end.
	Start  []byte
	Fields []Field
}

// Get returns the value of the first field with a name, and how many there
// are.
func (h *Head) Get(name string) (value []byte, count int) {
	for _, f := range h.Fields {
		if !f.Is(name) {
			continue
		}
		if count == 0 {
			value = f.Value
		}
		count++
	}
	return value, count
}

// ReadHead reads the first line and the fields of a message.
func ReadHead(br *bufio.Reader, limit int) (*Head, error) {
	raw := make([]byte, 0, min(1024, limit))
	for {
		line, err := br.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			if len(line) > 0 || len(raw) > 0 {
				return nil, errors.WithType(errors.Annotate(err, "header is cut"), ErrMalformed)
			}
			return nil, err
		}
		start := len(raw)
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, ErrHeaderTooLong
		}
		if n := len(raw); err == nil && (n < 2 || raw[n-2] != '\r') {
			return nil, errors.Annotate(ErrMalformed, "bare line end")
		}
		if err == nil && len(line) == 2 && start > 0 && raw[start-1] == '\n' {
			break
		}
	}
	return parse(raw)
}

func parse(raw []byte) (*Head, error) {
	h := &Head{Fields: make([]Field, 0, 16)}
	for first := true; len(raw) > 2; first = false {
		end := bytes.IndexByte(raw, '\n')
		if end < 1 || raw[end-1] != '\r' {
			return nil, errors.Annotate(ErrMalformed, "bare line end")
		}
		line := raw[:end-1]
		raw = raw[end+1:]
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return nil, errors.Annotate(ErrMalformed, "control byte in the header")
		}
		if first {
			h.Start = line
			continue
		}
		f, err := field(line)
		if err != nil {
			return nil, err
		}
		h.Fields = append(h.Fields, f)
	}
	if string(raw) != "\r\n" {
		return nil, errors.Annotate(ErrMalformed, "no end of the header")
	}
	return h, nil
}

func field(line []byte) (Field, error) {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return Field{}, errors.Annotate(ErrMalformed, "field without a name")
	}
	name := line[:colon]
	for _, c := range name {
		if !isToken(c) {
			return Field{}, errors.Annotate(ErrMalformed, "field name")
		}
	}
	return Field{Name: name, Value: bytes.Trim(line[colon+1:], " \t")}, nil
}

func isToken(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// hops are the fields that concern one connection only.
var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd calls f with each field that is to be passed on: all but those of
// one connection and the length of the body.
func (h *Head) EndToEnd(f func(Field)) {
	listed, n := h.Get("Connection")
	for _, d := range h.Fields {
		if isHop(d) || n > 0 && HasToken(listed, string(d.Name)) {
			continue
		}
		f(d)
	}
}

func isHop(f Field) bool {
	for _, n := range hops {
		if f.Is(n) {
			return true
		}
	}
	return false
}

// HasToken reports whether a comma-separated list holds a word.
func HasToken(list []byte, word string) bool {
	for part := range bytes.SplitSeq(list, []byte{','}) {
		if strings.EqualFold(string(bytes.TrimSpace(part)), word) {
			return true
		}
	}
	return false
}

// Append adds a field to a message.
func Append[N, V string | []byte](b []byte, name N, value V) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// Append adds the field to a message.
func (f Field) Append(b []byte) []byte { return Append(b, f.Name, f.Value) }
