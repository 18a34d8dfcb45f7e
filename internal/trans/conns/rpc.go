package conns

import (
	"context"
	"net"
	"net/rpc"
	"time"
)

// CallRPC calls a method and waits for its answer for a time. It returns
// context.DeadlineExceeded if there is none; the reply may still be written
// then.
func CallRPC(ctx context.Context, c *rpc.Client, wait time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case d := <-c.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return d.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeRPC answers calls of a receiver's methods under a name until the context
// ends, and then closes the connections that others opened.
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
