package gate

import (
	"net/http"
	"strconv"
	"time"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

// ownAnswer is an answer of this node. After tells when the caller may come
// back; zero says nothing of it.
func ownAnswer(status int, after time.Duration, last bool) []byte {
	b := make([]byte, 0, 128)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Length: 0\r\n"...)
	if after > 0 {
		b = http1.Append(b, "Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	return closeField(b, last)
}

// closeField ends a header.
func closeField(b []byte, last bool) []byte {
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// passedHead is the header of an endpoint's answer as the caller gets it.
func passedHead(r *http1.Response) []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = append(b, r.Reason...)
	b = append(b, "\r\n"...)
	r.EndToEnd(func(f http1.Field) { b = f.Append(b) })
	return b
}

// wholeAnswer is an answer with its body. A body that the endpoint announced
// but did not send, as for the method HEAD, keeps its length.
func wholeAnswer(r *http1.Response, body []byte, last bool) []byte {
	b := passedHead(r)
	switch {
	case r.Framing != http1.None:
		b = http1.Append(b, "Content-Length", strconv.Itoa(len(body)))
	case r.Status != http.StatusNoContent:
		if v, n := r.Get("Content-Length"); n > 0 {
			b = http1.Append(b, "Content-Length", v)
		}
	}
	b = closeField(b, last)
	return append(b, body...)
}

// chunk frames a part of a body.
func chunk(b, part []byte) []byte {
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, "\r\n"...)
	b = append(b, part...)
	return append(b, "\r\n"...)
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"
