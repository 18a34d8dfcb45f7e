package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/trace"
)

// Guards against a booking whose holder is taken for gone by a node that has just started and
// has not heard of the holder yet: its caller was told that the outcome is unknown.
func TestNodeNotHeardOfYetMayBeAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &trace.Clock{}
		m := &Mesh{
			Self: func() membr.Member { return membr.Member{Name: "a", Boot: 1} }, Clock: c, Ring: trace.NewRing("a", c, 16),
			Logger: zerolog.Nop(), ApplyHeartbeat: func(messg.Heartbeat) {},
		}
		m.Init()
		test.True(t, m.Alive("b", 2), test.Sprint("not heard of yet"))
		m.receive(messg.Heartbeat{From: membr.Member{Name: "c", Boot: 2}})
		test.True(t, m.Alive("c", 2))
		test.True(t, m.Alive("c", 3), test.Sprint("only an earlier run was heard of"))
		test.False(t, m.Alive("c", 1), test.Sprint("a later run was heard of"))
		time.Sleep(membr.DeadAfter + time.Second)
		m.members.Tick(time.Now())
		test.False(t, m.Alive("b", 2))
		test.False(t, m.Alive("c", 2))
		test.False(t, m.Alive("c", 3))
		test.True(t, m.Alive("a", 1))
		test.False(t, m.Alive("a", 2))
	})
}
