package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// startMesh runs a mesh until the test ends. Strikes announced by peers are
// passed to mergeStrikes.
func startMesh(t *testing.T, name ident.NodeName, mergeStrikes func([]strik.Strike)) *Mesh {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c := &trace.Clock{}
	m := &Mesh{
		Self:           func() membr.Member { return membr.Member{Name: name, Peer: l.Addr().String()} },
		Clock:          c,
		Ring:           trace.NewRing(name, c, 16),
		Logger:         zerolog.Nop(),
		FillHeartbeat:  func(*messg.Heartbeat) {},
		ApplyHeartbeat: func(messg.Heartbeat) {},
		MergeStrikes:   mergeStrikes,
	}
	m.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx, l); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func TestAnnounceStrikesWaitsForPeers(t *testing.T) {
	const delay = 20 * time.Millisecond
	var mu sync.Mutex
	var got []strik.Strike
	slow := startMesh(t, "b", func(ss []strik.Strike) {
		time.Sleep(delay)
		mu.Lock()
		defer mu.Unlock()
		got = append(got, ss...)
	})
	m := startMesh(t, "a", func([]strik.Strike) {})
	m.receive(messg.Heartbeat{From: slow.Self()})
	m.AnnounceStrikes([]strik.Strike{{Digest: 1, Endpoint: "e"}})
	mu.Lock()
	defer mu.Unlock()
	test.SliceLen(t, 1, got)
}

func TestAnnounceStrikesReturnsDespiteUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	m := startMesh(t, "a", func([]strik.Strike) {})
	m.receive(messg.Heartbeat{From: membr.Member{Name: "silent", Peer: l.Addr().String()}})
	m.AnnounceStrikes([]strik.Strike{{Digest: 1, Endpoint: "e"}})
}
