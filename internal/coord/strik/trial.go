package strik

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// AnnounceTime is the time from the announcement of a trial until it is sent, in which nodes learn of
// each other's announcements.
const AnnounceTime = 50 * time.Millisecond

const (
	// trialTurn is the time from the turn of one node to announce a trial to that of the next one.
	trialTurn = 100 * time.Millisecond
	// maxTurns bounds the number of turns before that of a node.
	maxTurns = 30
	// trialLease is how long other nodes leave a trial to the node that announced it, if they
	// don't learn of its end.
	trialLease = 20 * time.Second
)

// Trial is the sending of a request with barred parts by one node, while the others send none with
// them.
type Trial struct {
	Node  ident.NodeName
	Parts []ident.PartID
	// Ended is set once the outcome is known, or if there is none. At is when the trial began, or
	// when it ended.
	Ended bool
	At    time.Time
}

// TurnDelay returns how long after a trial is due a node may send it that has the given rank among
// the nodes alive. Any node that has a request with the part gets its turn, since the first ones
// may get none.
func TurnDelay(rank int) time.Duration { return time.Duration(min(rank, maxTurns)) * trialTurn }

// StartTrial records a trial of this node, and reports whether it may be sent: there must be no
// other one of the same parts by this node, or by one that is alive.
func (t *Parts) StartTrial(tr Trial, alive func(ident.NodeName) bool) bool {
	for _, p := range tr.Parts {
		if o, ok := t.trials[p]; ok && (o.Node == tr.Node || !o.isOver(tr.At) && (o.Ended || alive(o.Node))) {
			return false
		}
	}
	for _, p := range tr.Parts {
		t.trials[p] = tr
	}
	return true
}

// EndTrial ends a trial of this node. Its outcome is recorded by Add or EndWell.
func (t *Parts) EndTrial(tr Trial) {
	for _, p := range tr.Parts {
		if t.trials[p].Node == tr.Node {
			delete(t.trials, p)
		}
	}
}

// RecordTrial records a trial, or its end, of another node. If two nodes have announced trials of a
// part at once, all nodes let the one with the lower name send it.
func (t *Parts) RecordTrial(tr Trial) {
	for _, p := range tr.Parts {
		o, ok := t.trials[p]
		isFree := !ok || o.Ended || o.isOver(tr.At)
		if tr.Ended && o.Node == tr.Node || !tr.Ended && (isFree || tr.Node < o.Node) {
			t.trials[p] = tr
		}
	}
}

// HoldsTrial reports whether a trial that this node has announced may still be sent: no other node
// with a lower name has announced one.
func (t *Parts) HoldsTrial(tr Trial) bool {
	for _, p := range tr.Parts {
		if t.trials[p].Node != tr.Node {
			return false
		}
	}
	return true
}

// End returns the end of a trial, for the other nodes.
func (tr Trial) End(now time.Time) Trial {
	tr.Ended, tr.At = true, now
	return tr
}

// isOver reports whether another trial may begin: the lease of this one has ended, or its outcome,
// which is announced apart from its end, has had the time to arrive.
func (tr Trial) isOver(now time.Time) bool {
	if tr.Ended {
		return now.Sub(tr.At) >= AnnounceTime
	}
	return now.Sub(tr.At) >= trialLease
}

// expireTrials drops the trials whose nodes did not tell their end.
func (t *Parts) expireTrials(now time.Time) {
	for p, tr := range t.trials {
		if tr.isOver(now) {
			delete(t.trials, p)
		}
	}
}
