package links

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// tcpUserTimeoutOption is TCP_USER_TIMEOUT on Linux.
const tcpUserTimeoutOption = 0x12

// Guards against a dead link that is found out later than its keep-alive probes say: on
// Linux a TCP_USER_TIMEOUT decides when they give up, whatever their count.
func TestUserTimeoutIsThatOfTheProbes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := Dial(context.Background(), l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	rc, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	var ms int
	must.NoError(t, rc.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption)
	}))
	must.NoError(t, err)
	test.Eq(t, probeIdle+probeCount*probeInterval, time.Duration(ms)*time.Millisecond)
}
