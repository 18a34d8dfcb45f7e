package soak

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// startEchoProxy starts a proxy to an echo server.
func startEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	echoListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		for {
			c, err := echoListener.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &Proxy{Listener: l, Target: func() string { return echoListener.Addr().String() }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); echoListener.Close(); <-done })
	return p
}

// echoes reports whether the connection returns what is written to it.
func echoes(c net.Conn) bool {
	c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := io.WriteString(c, "word"); err != nil {
		return false
	}
	b := make([]byte, 4)
	_, err := io.ReadFull(c, b)
	return err == nil && string(b) == "word"
}

func TestProxyModes(t *testing.T) {
	cases := []struct {
		mode ProxyMode
		// openWorks is set if a connection opened before the mode is set works in
		// that mode, newWorks if one opened after the return to ModePass works.
		openWorks, newWorks bool
	}{
		{ModePass, true, true},
		{ModeRefuse, false, true},
		{ModeSilence, false, true},
		{ModeDropResponses, false, true},
		{ModeDelay, true, true},
	}
	for _, c := range cases {
		p := startEchoProxy(t)
		old, err := net.Dial("tcp", p.Address())
		must.NoError(t, err)
		must.True(t, echoes(old))
		p.SetMode(c.mode)
		test.Eq(t, c.openWorks, echoes(old), test.Sprint(c.mode))
		p.SetMode(ModePass)
		next, err := net.Dial("tcp", p.Address())
		must.NoError(t, err)
		test.Eq(t, c.newWorks, echoes(next), test.Sprint(c.mode))
		old.Close()
		next.Close()
	}
}
