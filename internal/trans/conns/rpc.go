package conns

import (
	"context"
	"net"
	"net/rpc"
)

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
