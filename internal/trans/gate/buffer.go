package gate

import (
	"bufio"
	"io"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// maxResponseBody bounds the body of an endpoint's response in bytes.
	maxResponseBody = 16 << 20
	// maxStaleBody bounds the body of a response to another request, which is
	// skipped, in bytes.
	maxStaleBody = 64 << 10
)

// errBufferFull means that the node holds too many bytes of responses.
const errBufferFull = errors.ConstError("too many bytes of responses are buffered")

// bodyBuffer reads response bodies and counts their bytes in Server.bufferedBytes
// until they are released.
type bodyBuffer struct {
	server *Server
	source io.Reader
	size   int64
}

// readBody reads the whole body of a response. The buffer must be released, also
// after an error.
func (s *Server) readBody(br *bufio.Reader, res *http1.Response) ([]byte, *bodyBuffer, error) {
	b := &bodyBuffer{server: s, source: http1.NewBodyReader(br, res.Framing, res.Length)}
	if res.Framing == http1.Sized && res.Length > maxResponseBody {
		return nil, b, http1.ErrBodyTooLong
	}
	body, err := io.ReadAll(io.LimitReader(b, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		return nil, b, http1.ErrBodyTooLong
	}
	return body, b, err
}

// Read reads the body and counts its bytes.
func (b *bodyBuffer) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.size += int64(n)
	if held := b.server.bufferedBytes.Add(int64(n)); b.server.MaxBufferedBytes > 0 && held > b.server.MaxBufferedBytes {
		return n, errBufferFull
	}
	return n, err
}

// release stops counting the bytes. It does nothing if b is nil.
func (b *bodyBuffer) release() {
	if b != nil {
		b.server.bufferedBytes.Add(-b.size)
	}
}

// skipBody reads a body that is not used.
func skipBody(br *bufio.Reader, res *http1.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(http1.NewBodyReader(br, res.Framing, res.Length), maxStaleBody+1))
	if err == nil && n > maxStaleBody {
		return http1.ErrBodyTooLong
	}
	return err
}
