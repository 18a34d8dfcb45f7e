package strik

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Keeper holds the parts of a node under suspicion. It is safe for concurrent use. The zero value is
// empty.
type Keeper struct {
	// PromptsOnly leaves out the parts that stand for whole requests, see Parts.CountsRequests.
	// It is set before the first call.
	PromptsOnly bool

	// count is the number of parts and of strikes whose cause is not known yet.
	count atomic.Int64

	mu    sync.Mutex
	parts *Parts
}

// IsEmpty reports whether nothing is under suspicion. It takes no lock.
func (k *Keeper) IsEmpty() bool { return k.count.Load() == 0 }

// Count returns the number of parts, and of strikes whose cause is not known yet.
func (k *Keeper) Count() int { return int(k.count.Load()) }

// Update calls f with the parts, which it must not keep.
func (k *Keeper) Update(f func(*Parts)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.parts == nil {
		k.parts = NewParts()
		k.parts.CountsRequests = !k.PromptsOnly
	}
	f(k.parts)
	k.count.Store(int64(k.parts.Len() + k.parts.PendingLen()))
}

// States returns what is known of parts, for another node.
func (k *Keeper) States() (ps []PartState) {
	if k.IsEmpty() {
		return nil
	}
	k.Update(func(t *Parts) {
		t.Expire(time.Now())
		ps = t.States()
	})
	return ps
}

// MergeStates adds what another node knows of parts.
func (k *Keeper) MergeStates(ps []PartState) {
	if len(ps) == 0 {
		return
	}
	k.Update(func(t *Parts) {
		for _, p := range ps {
			t.Merge(p)
		}
	})
}

// EndWell records that a request ended well, and returns those of its parts that this clears.
func (k *Keeper) EndWell(p Proof) (cleared []ident.PartID) {
	if len(p.Parts) == 0 || k.IsEmpty() {
		return nil
	}
	k.Update(func(t *Parts) { cleared = t.EndWell(p) })
	return cleared
}

// StartTrial starts a trial, unless one of its parts is on trial at a node that is alive. announce
// tells the other nodes, and for a beginning returns once they know and this node knows what they
// announced at the same time. Of two trials that start at once, one ends: then StartTrial returns
// false.
func (k *Keeper) StartTrial(tr Trial, alive func(ident.NodeName) bool, announce func(Trial)) bool {
	started, holds := false, false
	k.Update(func(t *Parts) { started = t.StartTrial(tr, alive) })
	if !started {
		return false
	}
	announce(tr)
	k.Update(func(t *Parts) { holds = t.HoldsTrial(tr) })
	if !holds {
		announce(k.EndTrial(tr))
	}
	return holds
}

// EndTrial ends a trial, and returns what tells the other nodes so.
func (k *Keeper) EndTrial(tr Trial) Trial {
	k.Update(func(t *Parts) { t.EndTrial(tr) })
	return tr.End(time.Now())
}

// RecordTrials records trials that other nodes have begun or ended.
func (k *Keeper) RecordTrials(trs []Trial) {
	k.Update(func(t *Parts) {
		for _, tr := range trs {
			t.RecordTrial(tr)
		}
	})
}
