package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// cutTime is how long a node is cut from all endpoints.
	cutTime = 7 * time.Second
	// minCutCalls is the number of requests at the cut node, and at the others, below
	// which a cut isn't checked.
	minCutCalls = 20
	// A cut node must serve at least minCutShare as often as the others, unless at most
	// maxCutFailures of its requests fail.
	minCutShare    = 2.0 / 3
	maxCutFailures = 10
)

// cutModes maps cuts of a node to what they do with its open connections and with new
// ones.
var cutModes = map[FaultKind]linkCut{
	CutNodeReset:  {open: ModeRefuse, opened: ModeRefuse},
	CutNodeHang:   {open: ModeSilence, opened: ModeSilence},
	CutNodeRefuse: {open: ModePass, opened: ModeRefuse},
}

// linkCut is what happens to the connections of one node to an endpoint: to those that
// are open when the cut begins, and to those that are opened later.
type linkCut struct {
	open, opened ProxyMode
}

// cutPeriod is a time in which a node was cut from all endpoints.
type cutPeriod struct {
	node     ident.NodeName
	from, to time.Time
}

// cutNode injects the cut of a node from all endpoints.
func (s *Soak) cutNode(ctx context.Context, n *process, f FaultKind) {
	n.cutLock.Lock()
	defer n.cutLock.Unlock()
	began := time.Now()
	ownerOf := s.ownersNow()
	for _, e := range s.endpoints {
		e.proxy.Cut(n.name(), cutModes[f], ownerOf)
	}
	delay.For(ctx, cutTime)
	for _, e := range s.endpoints {
		e.proxy.Restore(n.name())
	}
	s.journal.RecordCut(cutPeriod{n.name(), began, time.Now()})
}

// RecordCut records that a node was cut from all endpoints.
func (j *Journal) RecordCut(c cutPeriod) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cuts = append(j.cuts, c)
}

// checkCuts compares what each cut node served, from SettleTime after the beginning of the
// cut, with what nodes served that were neither cut nor disturbed. The caller holds j.mu.
func (j *Journal) checkCuts(b Bounds) []Violation {
	var vs []Violation
	for _, c := range j.cuts {
		from := c.from.Add(b.SettleTime)
		if j.isNodeDisturbed(c.node, c.from, c.to) {
			continue
		}
		var cut, others tally
		for _, call := range j.calls {
			if call.SentAt.Before(from) || call.SentAt.After(c.to) || !call.mustBeServed() {
				continue
			}
			switch {
			case call.Node == c.node:
				cut.add(call)
			case !j.isNodeDisturbed(call.Node, c.from, c.to) && !j.isCut(call.Node, c.from, c.to):
				others.add(call)
			}
		}
		if cut.total < minCutCalls || others.total < minCutCalls || cut.total-cut.served <= maxCutFailures {
			continue
		}
		if cut.share() < minCutShare*others.share() {
			vs = append(vs, Violation{"recover", fmt.Sprintf("%s was cut from all endpoints and served %d of %d requests, the others %d of %d", c.node, cut.served, cut.total, others.served, others.total)})
		}
	}
	return vs
}

// tally counts requests.
type tally struct {
	total, served int
}

func (t *tally) add(c *Call) {
	t.total++
	if c.Status == http.StatusOK && c.Complete {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(t.total) }

// mustBeServed reports whether the caller of a request waited for its answer, with a key
// that is valid all the time, and without a part that crashes endpoints.
func (c *Call) mustBeServed() bool {
	return c.AbandonedAt.IsZero() && c.PermanentKey && !c.Crashing
}

// isNodeDisturbed reports whether a fault of a node itself overlaps a period.
func (j *Journal) isNodeDisturbed(n ident.NodeName, from, to time.Time) bool {
	for _, d := range j.disturbances {
		allKilled := d.Kind == KillAll.String()
		if (d.Node == n || allKilled) && !d.IsCut && d.overlaps(from, to) {
			return true
		}
	}
	return false
}

// isCut reports whether a cut of a node overlaps a period.
func (j *Journal) isCut(n ident.NodeName, from, to time.Time) bool {
	for _, c := range j.cuts {
		if c.node == n && c.from.Before(to) && c.to.After(from) {
			return true
		}
	}
	return false
}
