package gate

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// emptyResponse returns a response of this node, without a body. A positive
// retryAfter adds a Retry-After header; closeConn adds "Connection: close".
func emptyResponse(status int, retryAfter time.Duration, closeConn bool) []byte {
	b := make([]byte, 0, 128)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Length: 0\r\n"...)
	if retryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	return endHeader(b, closeConn)
}

// endHeader ends a header, with "Connection: close" if closeConn is set.
func endHeader(b []byte, closeConn bool) []byte {
	if closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// forwardedResponseHeader returns the status line and the end-to-end fields of
// an endpoint's response, without the empty line that ends a header.
func forwardedResponseHeader(r *http1.Response) []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = append(b, r.StatusAndReason...)
	b = append(b, "\r\n"...)
	r.EndToEnd(func(f http1.Field) { b = f.Append(b) })
	return b
}

// fullResponse returns the pieces of an endpoint's response with its body, as the caller
// gets it. If the endpoint announced a length but sent no body, as in a
// response to HEAD, the Content-Length is kept. Most bodies have one piece, which is joined
// with the header.
func fullResponse(r *http1.Response, body net.Buffers, closeConn bool) net.Buffers {
	b := forwardedResponseHeader(r)
	switch {
	case r.Framing != http1.None:
		b = http1.AppendField(b, "Content-Length", strconv.Itoa(bodySize(body)))
	case r.Status != http.StatusNoContent:
		if v, n := r.Get("Content-Length"); n > 0 {
			b = http1.AppendField(b, "Content-Length", v)
		}
	}
	b = endHeader(b, closeConn)
	if len(body) == 1 && len(body[0]) <= maxInlineBody {
		return net.Buffers{append(b, body[0]...)}
	}
	return append(net.Buffers{b}, body...)
}

func bodySize(body net.Buffers) int {
	size := 0
	for _, b := range body {
		size += len(b)
	}
	return size
}

// appendChunk appends data as one chunk of a chunked body.
func appendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"
