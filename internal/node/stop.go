package node

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/trace"
)

const (
	// drainPollInterval is the pause between two checks while waiting for the
	// requests in flight or the claim records.
	drainPollInterval = 50 * time.Millisecond
	// stopTimeout limits the steps after the last request has ended: closing the
	// connections and the last appends to the log.
	stopTimeout = 5 * time.Second
)

// stop shuts the node down gracefully. The node reports that it is not ready and
// waits DrainDelay, so that the load balancer stops sending requests. When no
// request is in flight, the node stops serving callers, appends its remaining
// claims and usage to the log, and stops serving operators.
func (n *Node) stop(stopRun context.CancelFunc) {
	defer stopRun()
	n.Logger.Info().Msg("node: graceful shutdown begins")
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
	n.Logger.Info().Msg("node: graceful shutdown ends")
}

// waitIdle waits until no request is in flight. Each request has a time limit,
// so the wait is bounded once the load balancer sends no new ones.
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
