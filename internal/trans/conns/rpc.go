package conns

import (
	"bufio"
	"context"
	"net"
	"net/rpc"
	"time"
)

// CallRPC calls a method and waits at most timeout for its answer. It returns
// context.DeadlineExceeded if none comes in time; the reply may still be written
// to afterwards.
func CallRPC(ctx context.Context, c *rpc.Client, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case d := <-c.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return d.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Branch serves the accepted connections whose first byte is Preamble, instead of the
// methods of net/rpc. It gets a reader of what follows the preamble.
type Branch struct {
	Preamble byte
	Serve    func(context.Context, net.Conn, *bufio.Reader)
}

// ServeRPC serves the methods of a receiver under the given name until the context
// ends. It then closes the accepted connections.
func ServeRPC(ctx context.Context, l net.Listener, name string, receiver any, branches ...Branch) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(name, receiver); err != nil {
		return err
	}
	var open Tracker
	stop := context.AfterFunc(ctx, func() { l.Close(); open.CloseAll() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		open.Add(c)
		go func() {
			defer open.Remove(c)
			serveConn(ctx, srv, c, branches)
		}()
	}
}

// serveConn serves a connection by the branch with its first byte, or else by net/rpc.
func serveConn(ctx context.Context, srv *rpc.Server, c net.Conn, branches []Branch) {
	r := bufio.NewReader(c)
	first, err := r.Peek(1)
	if err != nil {
		c.Close()
		return
	}
	for _, b := range branches {
		if b.Preamble == first[0] {
			r.Discard(1)
			b.Serve(ctx, c, r)
			return
		}
	}
	srv.ServeConn(&readerConn{c, r})
}

// readerConn is a connection of which the first bytes are in a reader.
type readerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *readerConn) Read(b []byte) (int, error) { return c.reader.Read(b) }
