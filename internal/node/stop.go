package node

import (
	"context"
	"time"

	"laburnumstack.org/laburnum/internal/state/trace"
)

const (
	activePoll  = 50 * time.Millisecond
	stopTimeout = 5 * time.Second
)

// stop is a planned stop. The node first looks not ready, keeps accepting
// until the balancer has noticed, lets every request end within its limit, and
// only then closes its ports.
func (n *Node) stop(end context.CancelFunc) {
	defer end()
	n.Logger.Info().Msg("node: planned stop begins")
	n.ring.Add(trace.Stopping, "", "planned stop begins")
	n.front.Drain()
	n.mesh.BeatOnce(context.Background())
	time.Sleep(n.Settings.DrainDelay)
	n.waitIdle()
	n.core.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.front.Stop(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: connections of callers did not close")
	}
	n.settle(ctx)
	if err := n.usage.flush(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: last usage not written")
	}
	if err := n.admin.Stop(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("node: connections of operators did not close")
	}
	n.Logger.Info().Msg("node: planned stop ends")
}

// waitIdle waits until no request is in flight. Each has a deadline, so the
// wait is bounded by the longest time limit.
func (n *Node) waitIdle() {
	for n.front.Active() > 0 {
		time.Sleep(activePoll)
	}
}

// settle waits until the claims of this node are settled in the log.
func (n *Node) settle(ctx context.Context) {
	for n.keeper.Pending() > 0 && ctx.Err() == nil {
		time.Sleep(activePoll)
	}
}
