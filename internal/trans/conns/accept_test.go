package conns_test

import (
	"bytes"
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// failingListener fails at the first accepts, as if no descriptors were left.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

type echo struct{}

func (echo) Say(s string, r *string) error {
	*r = s
	return nil
}

// Guards against a process that ends, with all its requests, since it was out of descriptors
// for a moment.
func TestFailedAcceptsDoNotEndTheServer(t *testing.T) {
	const failures = 3
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &failingListener{Listener: inner}
	l.failures.Store(failures)
	var log bytes.Buffer
	counted := 0
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	patient := conns.Patient(l, zerolog.New(&log), func() { counted++ })
	go func() { ended <- conns.ServeRPC(ctx, patient, "Node", echo{}) }()
	c, err := rpc.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	var reply string
	must.NoError(t, conns.CallRPC(ctx, c, time.Minute, "Node.Say", "hello", &reply))
	test.Eq(t, "hello", reply)
	c.Close()
	cancel()
	test.NoError(t, <-ended)
	test.Eq(t, failures, counted)
	test.Eq(t, 1, bytes.Count(log.Bytes(), []byte("accept failed")))
}
