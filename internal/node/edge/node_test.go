package edge

import (
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against listeners that stay open if a later address is in use: a second try
// would fail at the first address.
func TestListenersAreClosedIfOneFails(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer used.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	free.Close()
	n := &Node{Settings: Settings{Name: "n", CallerAddress: free.Addr().String(), ReadyAddress: used.Addr().String()}, Source: unreachableSource{}, Logger: zerolog.Nop()}
	must.Error(t, n.Run(context.Background()))
	again, err := net.Listen("tcp", free.Addr().String())
	test.NoError(t, err)
	if err == nil {
		again.Close()
	}
}
