// Package conns opens, checks, pools and reads the connections to back ends.
// It never repeats a call by itself.
package conns

import (
	"net"
	"syscall"
)

// Open reports whether the other end of a connection has not closed it, as
// far as this end has heard. It consumes nothing.
func Open(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := true
	err = rc.Control(func(fd uintptr) {
		open = peek(int(fd))
	})
	return err == nil && open
}

// quiet reports whether a connection is open and has nothing to read.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = e == syscall.EAGAIN
	})
	return err == nil && idle
}

func peek(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return true
	}
	return err == nil && n > 0
}
