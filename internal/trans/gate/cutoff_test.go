package gate

import (
	"bufio"
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against requests that are cut off without a response since the process must end.
func TestRequestsUnderWayAreAnsweredAtTheEnd(t *testing.T) {
	for _, target := range []string{"/safe/", "/once/", "/stream/"} {
		t.Run(target, func(t *testing.T) {
			r := newRig(t, newEndpoint(t, "e", neverResponds))
			conn := r.dial()
			br := bufio.NewReader(conn)
			io.WriteString(conn, request("POST", target, "r", "body"))
			for r.server.InFlight.CountOf("n1") == 0 {
				time.Sleep(time.Millisecond)
			}
			r.server.Drain()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			r.server.Stop(ctx)
			r.cancel()
			res, err := readResponseFrom(br)
			must.NoError(t, err)
			test.Eq(t, 502, res.status)
			test.True(t, res.closesConn)
			_, err = br.ReadByte()
			test.ErrorIs(t, err, io.EOF)
		})
	}
}
