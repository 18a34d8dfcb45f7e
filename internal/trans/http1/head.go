// Package http1 reads and checks HTTP/1.1 messages. It keeps the request
// target, and the names and values of header fields, as they were received, so
// that a node can forward them unchanged. It rejects messages that other parsers
// might interpret differently, for example those with two lengths.
package http1

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/juju/errors"
)

// Errors from reading a message.
const (
	// ErrMalformed means that the bytes are not a valid message.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrHeaderTooLong means that a header exceeds its limit.
	ErrHeaderTooLong = errors.ConstError("header is too long")
	// ErrBodyTooLong means that a body exceeds its limit.
	ErrBodyTooLong = errors.ConstError("body is too long")
	// ErrEndless means that a part of a message exceeds its limit that other messages have
	// only a little of: interim responses before a response, or the trailer.
	ErrEndless = errors.ConstError("message has no end")
)

// Field is one header field. Its slices alias the buffer that holds the whole
// header.
type Field struct {
	Name, Value []byte
}

// Is reports whether the field has the given name, ignoring case.
func (f Field) Is(name string) bool {
	return len(f.Name) == len(name) && bytes.EqualFold(f.Name, []byte(name))
}

// Head is the start line and the fields of a message.
type Head struct {
	// StartLine is the first line without its CRLF.
	StartLine []byte
	Fields    []Field
}

// Get returns the value of the first field with the given name, and the number of
// fields with that name.
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

// ReadHead reads the start line and the fields of a message. It returns
// ErrHeaderTooLong if they have more than limit bytes.
func ReadHead(br *bufio.Reader, limit int) (*Head, error) {
	raw := make([]byte, 0, max(0, min(1024, limit)))
	for {
		line, err := br.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			if len(line) > 0 || len(raw) > 0 {
				return nil, errors.WithType(errors.Annotate(err, "header is truncated"), ErrMalformed)
			}
			return nil, err
		}
		start := len(raw)
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, ErrHeaderTooLong
		}
		if n := len(raw); err == nil && (n < 2 || raw[n-2] != '\r') {
			return nil, errors.Annotate(ErrMalformed, "line end without a carriage return")
		}
		if err == nil && len(line) == 2 && start > 0 && raw[start-1] == '\n' {
			break
		}
	}
	return parseHead(raw)
}

func parseHead(raw []byte) (*Head, error) {
	h := &Head{Fields: make([]Field, 0, 16)}
	for first := true; len(raw) > 2; first = false {
		end := bytes.IndexByte(raw, '\n')
		if end < 1 || raw[end-1] != '\r' {
			return nil, errors.Annotate(ErrMalformed, "line end without a carriage return")
		}
		line := raw[:end-1]
		raw = raw[end+1:]
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return nil, errors.Annotate(ErrMalformed, "control byte in the header")
		}
		if first {
			h.StartLine = line
			continue
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h.Fields = append(h.Fields, f)
	}
	if string(raw) != "\r\n" {
		return nil, errors.Annotate(ErrMalformed, "header does not end with an empty line")
	}
	return h, nil
}

func parseField(line []byte) (Field, error) {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return Field{}, errors.Annotate(ErrMalformed, "field without a name")
	}
	name := line[:colon]
	for _, c := range name {
		if !isTokenChar(c) {
			return Field{}, errors.Annotate(ErrMalformed, "invalid character in a field name")
		}
	}
	return Field{Name: name, Value: bytes.Trim(line[colon+1:], " \t")}, nil
}

func isTokenChar(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// unforwardedFields are the fields that are never forwarded: the hop-by-hop
// fields, Expect, which the node handles itself, and Content-Length, which it
// sets anew.
var unforwardedFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd calls f for each field that is forwarded: all but unforwardedFields
// and those that a Connection field lists.
func (h *Head) EndToEnd(f func(Field)) {
	for _, field := range h.Fields {
		if isUnforwarded(field) || h.connectionHas(string(field.Name)) {
			continue
		}
		f(field)
	}
}

func isUnforwarded(f Field) bool {
	for _, n := range unforwardedFields {
		if f.Is(n) {
			return true
		}
	}
	return false
}

// connectionHas reports whether any Connection field contains a token.
func (h *Head) connectionHas(token string) bool {
	for _, f := range h.Fields {
		if f.Is("Connection") && HasToken(f.Value, token) {
			return true
		}
	}
	return false
}

// HasToken reports whether a comma-separated list contains a token, ignoring
// case.
func HasToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte{','}) {
		if strings.EqualFold(string(bytes.TrimSpace(part)), token) {
			return true
		}
	}
	return false
}

// AppendField appends a field to a message.
func AppendField[N, V string | []byte](b []byte, name N, value V) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// Append appends the field to a message.
func (f Field) Append(b []byte) []byte { return AppendField(b, f.Name, f.Value) }
