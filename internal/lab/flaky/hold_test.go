package flaky

import (
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against stand-ins that can't listen again after a crash because another process got
// their port meanwhile.
func TestHeldPortIsKeptWhileNobodyListens(t *testing.T) {
	h, err := HoldPort("127.0.0.1:0")
	must.NoError(t, err)
	defer h.Close()
	for range 2 {
		l, err := Listen(h.Address)
		must.NoError(t, err)
		c, err := net.Dial("tcp", h.Address)
		must.NoError(t, err)
		c.Close()
		l.Crash()
		_, err = net.Dial("tcp", h.Address)
		test.Error(t, err, test.Sprint("connections are refused while nobody listens"))
	}
	for range 2000 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		must.NotEq(t, h.Address, other.Addr().String())
		other.Close()
	}
}
