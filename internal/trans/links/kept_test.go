package links

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// newPool returns a pool of links to a listener, and a function that accepts one.
func newPool(t *testing.T) (*Pool, func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	accept := func() net.Conn {
		c, err := l.Accept()
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	return &Pool{address: l.Addr().String(), dial: Dial}, accept
}

// TestLinkWithUnreadBytesIsNotReused guards against a response that is taken for the one
// to the next request, because it arrived before that was sent.
func TestLinkWithUnreadBytesIsNotReused(t *testing.T) {
	cases := []struct {
		name string
		// beforePut and beforeTake are what the endpoint sends before the link is put
		// into the pool and taken out of it. Of the bytes before Put, one is read.
		beforePut, beforeTake string
		// awaits is set if the link is still open and what was sent before Take must
		// arrive.
		awaits, reused bool
	}{
		{"nothing", "a", "", false, true},
		{"in the buffer", "ab", "", false, false},
		{"in the socket", "a", "b", true, false},
		{"in both", "ab", "c", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, accept := newPool(t)
			l, err := p.Dial(context.Background(), time.Second)
			must.NoError(t, err)
			test.False(t, l.Reused())
			endpoint := accept()
			io.WriteString(endpoint, c.beforePut)
			_, err = l.Reader.Peek(len(c.beforePut))
			must.NoError(t, err)
			l.Reader.Discard(1)
			p.Put(l, time.Now())
			io.WriteString(endpoint, c.beforeTake)
			if c.awaits {
				awaitInput(t, l.Conn)
			}
			taken := p.Take(time.Now())
			test.Eq(t, c.reused, taken != nil)
			if taken != nil {
				test.True(t, taken.Reused())
			}
		})
	}
}

// awaitInput waits until a connection has bytes to read. It reads none of them.
func awaitInput(t *testing.T, c net.Conn) {
	rc, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, rc.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	}))
}
