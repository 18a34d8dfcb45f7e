package conns

import (
	"net"
	"os"

	"github.com/juju/errors"
)

// PatientReader reads from a connection. Parsers and buffers above it can't go on after an
// error, so a read that passes its deadline may be tried again below them.
type PatientReader struct {
	Conn net.Conn
	// Handler decides about reads that have passed their deadline. If it is nil, they end.
	Handler DeadlineHandler
}

// DeadlineHandler decides about reads that have passed their deadline.
type DeadlineHandler interface {
	// OutlastsDeadline is called by the goroutine that reads. If it returns true, which it
	// does after it has set another deadline, the read is tried again.
	OutlastsDeadline() bool
}

// Read reads from the connection.
func (p *PatientReader) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if n > 0 || p.Handler == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !p.Handler.OutlastsDeadline() {
			return n, err
		}
	}
}
