package share

import (
	"context"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// waitForChange waits until there is something to send, or until the next heartbeat. It
// returns false if the connection isn't needed any more.
func (p *peer) waitForChange(ctx context.Context) bool {
	sentAt := time.Now()
	for {
		t := time.NewTimer(p.heartbeatPause())
		select {
		case <-ctx.Done():
			t.Stop()
			return false
		case <-p.wake:
			t.Stop()
			p.waitForMore()
		case now := <-t.C:
			if p.sendsFrames(now) && now.Sub(sentAt) < unwatchedHeartbeatInterval {
				continue
			}
		}
		return p.keepsClient()
	}
}

// keepsClient reports whether the connection is still needed. If it isn't, no further call gets
// its client, which is closed next.
func (p *peer) keepsClient() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.needed(time.Now()) {
		return true
	}
	p.client = nil
	return false
}

// waitForMore waits so that one update carries several changes. A node alone has few
// changes for its hub, so it doesn't wait.
func (p *peer) waitForMore() {
	p.mu.Lock()
	toOwnHub := p.scope == relay.ScopeAll
	p.mu.Unlock()
	if !toOwnHub {
		time.Sleep(batchDelay)
	}
}

// sendsFrames reports whether the stream of the peer shows that it is alive, so that no
// heartbeat is needed.
func (p *peer) sendsFrames(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.frameAt) < heartbeatInterval+batchDelay
}

// heartbeatPause returns the longest pause between two updates to the peer.
func (p *peer) heartbeatPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched {
		return heartbeatInterval
	}
	return unwatchedHeartbeatInterval
}

// sendPending sends the pending changes, or an empty update as a heartbeat.
func (p *peer) sendPending(client *rpc.Client) error {
	u := p.takePending()
	p.mesh.stats.callsMade.Add(1)
	var r relay.UpdateReply
	if err := call(client, "Node.Tell", u, &r); err != nil {
		return err
	}
	p.mesh.hear(r.Heard)
	for _, m := range r.Members {
		p.mesh.AddPeer(m.Address)
	}
	p.recordAnswer()
	return nil
}

// recordAnswer records that the peer answered a call.
func (p *peer) recordAnswer() {
	now := time.Now()
	p.mu.Lock()
	p.lastSeen = now
	found := p.lost
	p.lost = false
	h := p.heard(now)
	p.mu.Unlock()
	if found && h.Member.Name != "" {
		p.mesh.passOn(h, now)
	}
}

// call makes a call that ends after callTimeout at the latest. If it times out,
// the client can't be used again and is closed.
func call(c *rpc.Client, method string, args, reply any) error {
	err := conns.CallRPC(context.Background(), c, callTimeout, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return err
}
