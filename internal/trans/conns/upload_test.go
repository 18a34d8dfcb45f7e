package conns_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// writeConn is a connection whose write fails with an error once its deadline is set, or at
// once if it is set before.
type writeConn struct {
	net.Conn
	err      error
	began    chan struct{}
	deadline chan struct{}
}

func (w *writeConn) Write([]byte) (int, error) {
	close(w.began)
	<-w.deadline
	return 0, w.err
}

func (w *writeConn) SetWriteDeadline(time.Time) error {
	close(w.deadline)
	return nil
}

// Guards against an end of the connection that counts as proper since the error of the write
// under way isn't known yet, and against one that counts as broken since the upload ended.
func TestEndBesideAnUpload(t *testing.T) {
	cases := []struct {
		name  string
		write error
		want  error
	}{
		{"reset", &net.OpError{Err: os.NewSyscallError("write", syscall.ECONNRESET)}, syscall.ECONNRESET},
		{"broken pipe", syscall.EPIPE, syscall.EPIPE},
		{"no acknowledgement", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"ended by the check", &net.OpError{Err: os.ErrDeadlineExceeded}, io.EOF},
		{"written", nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &writeConn{err: c.write, began: make(chan struct{}), deadline: make(chan struct{})}
			u := conns.NewUpload(w)
			go u.Write(nil)
			<-w.began
			test.True(t, errors.Is(u.CheckEnd(), c.want))
		})
	}
}
