package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// TestCutDisturbsOneNode checks each cut of a node: what happens to its open connections, to
// those it opens, and to those of another node.
func TestCutDisturbsOneNode(t *testing.T) {
	cases := []struct {
		kind                      FaultKind
		openWorks, newWorksDuring bool
	}{
		{CutNodeReset, false, false},
		{CutNodeHang, false, false},
		{CutNodeRefuse, true, false},
	}
	for _, c := range cases {
		t.Run(c.kind.String(), func(t *testing.T) {
			p := startEchoProxy(t)
			// The owner of a connection may be known only after the proxy accepts it.
			var owners sync.Map
			p.Owner = func(c net.Conn) ident.NodeName {
				for {
					if n, ok := owners.Load(c.RemoteAddr().String()); ok {
						return n.(ident.NodeName)
					}
					time.Sleep(time.Millisecond)
				}
			}
			dial := func(n ident.NodeName) net.Conn {
				conn, err := net.Dial("tcp", p.Address())
				must.NoError(t, err)
				owners.Store(conn.LocalAddr().String(), n)
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			cut, other := dial("n1"), dial("n2")
			must.True(t, echoes(cut))
			must.True(t, echoes(other))
			p.Cut("n1", cutModes[c.kind], p.Owner)
			test.Eq(t, c.openWorks, echoes(cut))
			test.True(t, echoes(other))
			test.Eq(t, c.newWorksDuring, echoes(dial("n1")))
			test.True(t, echoes(dial("n2")))
			p.Restore("n1")
			test.True(t, echoes(dial("n1")))
		})
	}
}

func TestSocketsOfAProcessAreFound(t *testing.T) {
	p := &process{config: NodeConfig{Name: "n1"}, cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	other := &process{config: NodeConfig{Name: "n2"}, cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getppid()}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	cases := []struct {
		name  string
		nodes []*process
		conn  net.Conn
		want  ident.NodeName
	}{
		{"the process has the other end", []*process{other, p}, accepted, "n1"},
		{"the process has this end too", []*process{p}, c, "n1"},
		{"another process", []*process{other}, accepted, ""},
	}
	for _, cs := range cases {
		s := &Soak{nodes: cs.nodes}
		test.Eq(t, cs.want, s.ownerOf(cs.conn), test.Sprint(cs.name))
	}
	must.NoError(t, c.Close())
	must.NoError(t, accepted.Close())
	s := &Soak{nodes: []*process{p}}
	test.Eq(t, "", s.ownerOf(accepted))
}

func TestCutNodeMustServe(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name        string
		failed      int
		disturbance Disturbance
		want        int
	}{
		{"serves", 5, Disturbance{}, 0},
		{"doesn't serve", 30, Disturbance{}, 1},
		{"was killed too", 30, Disturbance{Node: "n1", StartedAt: at(2), EndedAt: at(3)}, 0},
		{"its cut is a disturbance", 30, Disturbance{Node: "n1", IsCut: true, StartedAt: at(0), EndedAt: at(7)}, 1},
	}
	for _, c := range cases {
		j := NewJournal()
		j.RecordCut(cutPeriod{"n1", at(0), at(7)})
		j.disturbances = append(j.disturbances, &c.disturbance)
		for i := range 40 {
			for _, n := range []ident.NodeName{"n1", "n2"} {
				call := &Call{ID: fmt.Sprint(n, i), Kind: topol.Idempotent, Node: n, SentAt: at(4), EndedAt: at(4.1), Timeout: time.Second, PermanentKey: true, Status: 200, Complete: true}
				if n == "n1" && i < c.failed {
					call.Status = 503
				}
				j.AddCall(call)
			}
		}
		test.SliceLen(t, c.want, j.checkCuts(UserBounds()), test.Sprint(c.name))
	}
}
