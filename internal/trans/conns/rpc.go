package conns

import (
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

// ServeRPC serves the methods of a receiver under the given name until the context
// ends. It then closes the accepted connections.
func ServeRPC(ctx context.Context, l net.Listener, name string, receiver any) error {
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
			srv.ServeConn(c)
		}()
	}
}
