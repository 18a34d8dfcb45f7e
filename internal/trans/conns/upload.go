package conns

import (
	"io"
	"net"
	"os"
	"sync"

	"github.com/juju/errors"
)

// Upload writes to a connection while another goroutine reads from it. A broken connection
// is reported once, to a write or to a read. If a write got the error, reads return io.EOF,
// as after a proper close, and only Upload knows the difference.
type Upload struct {
	conn net.Conn

	// mu is held during each write.
	mu  sync.Mutex
	err error
}

// NewUpload returns an upload over a connection.
func NewUpload(c net.Conn) *Upload { return &Upload{conn: c} }

// Write writes to the connection.
func (u *Upload) Write(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		u.err = err
	}
	return n, err
}

// CheckEnd is called after a read has returned io.EOF. It ends the upload, and waits for a
// write under way. It returns io.EOF if the other end closed the connection, and
// otherwise the error with which the connection broke.
func (u *Upload) CheckEnd() error {
	u.conn.SetWriteDeadline(Expired)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return u.err
	}
	return io.EOF
}
