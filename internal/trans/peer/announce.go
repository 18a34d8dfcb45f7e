package peer

import (
	"context"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
)

// announceTimeout bounds how long AnnounceStrikes waits for the peers, and thus
// delays a request.
const announceTimeout = 500 * time.Millisecond

// AnnounceStrikes sends new strikes to all known peers that aren't dead. It
// returns when all have answered or after announceTimeout. It waits so that a
// caller who repeats a failed request at another node at once usually finds the
// strikes recorded there.
func (m *Mesh) AnnounceStrikes(ss []strik.Strike) {
	m.announce(messg.StrikeArgs{Stamp: m.Clock.Now(), Strikes: ss})
}

// AnnounceProof sends a proof that clears parts of prompts to the peers, as
// AnnounceStrikes does.
func (m *Mesh) AnnounceProof(p strik.Proof) {
	m.announce(messg.StrikeArgs{Stamp: m.Clock.Now(), Proofs: []strik.Proof{p}})
}

// AnnounceTrial sends a trial that begins or has ended to the peers, as AnnounceStrikes does.
func (m *Mesh) AnnounceTrial(t strik.Trial) {
	m.announce(messg.StrikeArgs{Stamp: m.Clock.Now(), Trials: []strik.Trial{t}})
}

func (m *Mesh) announce(args messg.StrikeArgs) {
	var wg sync.WaitGroup
	for _, e := range m.Members() {
		if e.State == membr.Dead {
			continue
		}
		wg.Go(func() { m.sendStrikes(e.Peer, args) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	t := time.NewTimer(announceTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (m *Mesh) sendStrikes(addr string, args messg.StrikeArgs) {
	if err := m.call(context.Background(), addr, "Node.Strike", args, &messg.Empty{}); err != nil {
		m.Logger.Warn().Err(err).Str("peer", addr).Msg("peer: announcing strikes failed")
	}
}
