package gate

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against callers that wait for 100 Continue until they get 408: the deadline of the last
// response on the connection was over.
func TestInterimAnswerAfterALongIdleTime(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	s := newRig(t).server
	c := newCallerConn(s, near)
	go func() {
		s.serveOne(c)
		near.Close()
	}()
	near.SetWriteDeadline(time.Now().Add(-time.Second))
	_, err := io.WriteString(far, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	must.NoError(t, err)
	line, err := bufio.NewReader(far).ReadString('\n')
	must.NoError(t, err)
	test.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
}
