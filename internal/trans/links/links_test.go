package links

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
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

// handler calls itself for reads that have passed their deadline.
type handler func() bool

func (h handler) OutlastsDeadline() bool { return h() }

// Guards against a parser that can't go on since a read passed its deadline within a line.
func TestReadsMayOutlastTheirDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	c, err := Dial(context.Background(), listener.Addr().String())
	must.NoError(t, err)
	l := NewLink(c)
	defer l.Close()
	endpoint, err := listener.Accept()
	must.NoError(t, err)
	defer endpoint.Close()

	calls := 0
	l.SetDeadlineHandler(handler(func() bool {
		calls++
		io.WriteString(endpoint, "line\n")
		l.SetReadDeadline(time.Time{})
		return calls == 1
	}))
	io.WriteString(endpoint, "one ")
	_, err = l.Reader.Peek(4)
	must.NoError(t, err)
	l.SetReadDeadline(conns.Expired)
	line, err := l.Reader.ReadString('\n')
	must.NoError(t, err)
	test.Eq(t, "one line\n", line)

	l.SetReadDeadline(conns.Expired)
	_, err = l.Reader.ReadByte()
	test.ErrorIs(t, err, os.ErrDeadlineExceeded, test.Sprint("the handler gives up"))
}
