package front

import (
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Guards against callers that wait in vain for 100 Continue: the deadline of the last response on
// the connection was over when the next request came.
func TestDeadlineOfAResponseDoesNotBindTheNext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	o := &callerConns{}
	listener := o.listen(l)
	defer listener.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer caller.Close()
	nc, err := listener.Accept()
	must.NoError(t, err)
	defer nc.Close()
	c := nc.(*callerConn)
	c.setIdle(true)
	must.NoError(t, c.SetWriteDeadline(conns.Expired))
	_, err = caller.Write([]byte("P"))
	must.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	must.NoError(t, err)
	_, err = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	test.NoError(t, err)
	// Within a request, the deadline is that of its response.
	must.NoError(t, c.SetWriteDeadline(conns.Expired))
	_, err = caller.Write([]byte("O"))
	must.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	must.NoError(t, err)
	_, err = c.Write([]byte("late"))
	test.True(t, conns.IsTimeout(err))
}
