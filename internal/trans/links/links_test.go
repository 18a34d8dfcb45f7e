package links

import (
	"context"
	"math"
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

// Guards against an announced timeout that overflows: links were closed at once, or kept
// for longer than the endpoint keeps them.
func TestAnnouncedTimeoutsDoNotOverflow(t *testing.T) {
	for _, c := range []struct {
		seconds int
		want    time.Duration
	}{
		{math.MinInt, 0}, {-1, 0}, {0, 0}, {1, time.Second - idleMargin}, {15, 15*time.Second - idleMargin},
		{9_999_999_999, maxIdleTimeout - idleMargin}, {9_999_999_999_999, maxIdleTimeout - idleMargin}, {math.MaxInt, maxIdleTimeout - idleMargin},
	} {
		l := &Link{}
		l.SetAnnouncedTimeout(c.seconds)
		test.Eq(t, c.want, l.IdleTimeout, test.Sprint(c.seconds))
	}
}
