package node

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/trace"
)

const (
	drainPollInterval = 50 * time.Millisecond
	stopTimeout       = 5 * time.Second
)

// stop makes a planned stop. The node reports not ready, accepts requests until
// the load balancer has had time to notice, waits until every request has ended
// within its time limit, and only then closes its listeners.
func (n *Node) stop(stopRun context.CancelFunc) {
	defer stopRun()
	n.Logger.Info().Msg("node: planned stop begins")
	n.ring.Add(trace.Stopping, "", "planned stop begins")
	n.front.Drain()
	n.mesh.SendHeartbeats(context.Background())
	time.Sleep(n.Settings.DrainDelay)
	n.waitIdle()
	n.core.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.front.Stop(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: closing the connections of callers failed")
	}
	n.waitForClaims(ctx)
	if err := n.usage.flush(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: the last usage was not appended")
	}
	if err := n.admin.Stop(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: closing the connections of operators failed")
	}
	n.Logger.Info().Msg("node: planned stop ends")
}

// waitIdle waits until no request is in flight. Each has a deadline, so the
// wait is bounded by the longest time limit.
func (n *Node) waitIdle() {
	for n.front.Active() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// waitForClaims waits until all claim records of this node are appended to the
// log, or the context ends.
func (n *Node) waitForClaims(ctx context.Context) {
	for n.claims.QueueLen() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}
