// Package conns opens, checks and pools connections, and makes HTTP and net/rpc
// calls over them. It never retries a call.
package conns

import (
	"net"
	"syscall"

	"github.com/juju/errors"
)

// IsOpen reports whether a connection is open as far as this end can tell: it has
// received neither an end of stream nor an error. An end of stream behind unread
// bytes goes unnoticed, and connections that don't give access to their socket
// count as open. IsOpen consumes no input.
func IsOpen(c net.Conn) bool {
	n, err := peek(c)
	return err == syscall.EAGAIN || err == syscall.EINTR || err == nil && n > 0
}

// IsIdle reports whether a connection is open and has no bytes to read. It returns
// true for connections that don't give access to their socket.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// IsTimeout reports whether an error means that a deadline has passed.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// peek reads the next byte of a connection without consuming it or waiting. It
// returns EAGAIN if there is none yet, and also for connections that don't give
// access to their socket.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var failed error
	err = rc.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}
