// Package conns opens, checks, pools and reads the connections to back ends.
// It never repeats a call by itself.
package conns

import (
	"net"
	"syscall"
)

// IsOpen reports whether the other end of a connection has not closed it, as
// far as this end has heard. It consumes nothing.
func IsOpen(c net.Conn) bool {
	n, err := peek(c)
	return err == syscall.EAGAIN || err == syscall.EINTR || err == nil && n > 0
}

// IsIdle reports whether a connection is open and has nothing to read.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// peek looks at the next byte of a connection without waiting. EAGAIN means
// that there is none yet; that is also the answer for connections that can't
// be looked at.
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
