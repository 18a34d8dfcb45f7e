package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
)

// KillInDrill makes the store lose the last records, as LoseRecords does, and kills a node that
// starts again while the store shows the older state. planDrills draws it.
const KillInDrill = connFaultEnd + 1

const (
	// meanDrillInterval is the mean time between two faults of planDrills.
	meanDrillInterval = 5 * time.Second
	// drillDowntime is how long a node that is killed in a drill is down, and drillRewriteDelay
	// the time from its start until what was lost is written again.
	drillDowntime     = 200 * time.Millisecond
	drillRewriteDelay = 1200 * time.Millisecond
)

// planDrills draws losses of the store beside restarts of nodes.
func planDrills(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 5))
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanDrillInterval))
		if at >= span {
			return faults
		}
		faults = append(faults, ScheduledFault{At: at, Kind: KillInDrill, Index: r.IntN(1 << 16)})
	}
}

// killInDrill injects KillInDrill.
func (s *Soak) killInDrill(ctx context.Context, n *process, index int) error {
	defer s.journal.StartDisturbance(Disturbance{Kind: LoseRecords.String()})()
	rewritten := s.lose(index)
	killed := s.journal.StartDisturbance(Disturbance{Node: n.name(), Kind: KillNode.String()})
	err := n.withSignalLock(func() error { return n.killAndRestart(ctx, drillDowntime) })
	killed()
	if err != nil {
		return err
	}
	delay.For(ctx, drillRewriteDelay)
	return s.rewriteRecords(rewritten)
}
