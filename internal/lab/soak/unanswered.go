package soak

import (
	"fmt"
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// reusableIdleNum and reusableIdleDen form the share of the limit for idle connections up
// to which callers use them.
const (
	reusableIdleNum = 4
	reusableIdleDen = 5
)

// exitSlack is the time before and after the exit of a process in which requests of a
// distant caller cross the end of their connection.
const exitSlack = 50 * time.Millisecond

// endingFaults are the faults that may end the connections of a node.
var endingFaults = ident.SetOf(KillNode.String(), KillAll.String(), PauseNode.String(), CutNodeReset.String(), CutNodeHang.String(), CutNodeRefuse.String())

// storeFaults are the faults that keep nodes from reading the newest configuration.
var storeFaults = ident.SetOf(CutStore.String(), SilenceStore.String(), LoseAnswers.String(), DelayStore.String(), StoreDown.String(), TrimStore.String(), LoseRecords.String())

// RecordExit records that the process of a node exited now.
func (j *Journal) RecordExit(n ident.NodeName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.exits = append(j.exits, nodeExit{n, time.Now()})
}

// nodeExit is the time when the process of a node exited.
type nodeExit struct {
	node ident.NodeName
	at   time.Time
}

// checkUnanswered checks that a request on a kept connection got an answer, or at least its
// first byte. Planned stops and configurations excuse nothing. The caller holds j.mu.
func (j *Journal) checkUnanswered(c *Call, b Bounds) []Violation {
	if !c.Kept || !c.EndedWithoutByte || !c.AbandonedAt.IsZero() {
		return nil
	}
	idle := c.SentAt.Sub(c.IdleSince)
	if idle*reusableIdleDen >= j.idleLimitFor(c, b)*reusableIdleNum || j.mayEndConnections(c) {
		return nil
	}
	text := fmt.Sprintf("request %s of kind %s at %s on a connection idle for %v: no answer and no announced close, ended after %v; distant: %t, runs: %d",
		c.ID, c.Kind, c.Node, idle, c.EndedAt.Sub(c.SentAt), c.Distant, len(c.Runs))
	return []Violation{{"unanswered", text}}
}

// idleLimitFor returns the limit for the connection of a call: the largest one around a
// change, or the smallest of all if the node may not know the newest configuration.
func (j *Journal) idleLimitFor(c *Call, b Bounds) time.Duration {
	since := c.IdleSince.Add(-b.SettleTime)
	for _, d := range j.disturbances {
		if (d.Node == "" || d.Node == c.Node) && storeFaults.Has(d.Kind) && d.overlaps(since, c.SentAt) {
			return j.smallestIdleLimit()
		}
	}
	return j.largestIdleLimit(c.IdleSince, c.SentAt, b.SettleTime)
}

// mayEndConnections reports whether the node of a call was killed, paused or cut since the
// connection was idle. A request of a distant caller may also cross the exit of the
// process, which no node can prevent.
func (j *Journal) mayEndConnections(c *Call) bool {
	for _, d := range j.disturbances {
		if (d.Node == "" || d.Node == c.Node) && endingFaults.Has(d.Kind) && d.overlaps(c.IdleSince, c.EndedAt) {
			return true
		}
	}
	if !c.Distant {
		return false
	}
	for _, e := range j.exits {
		if e.node == c.Node && e.at.After(c.SentAt.Add(-exitSlack)) && e.at.Before(c.EndedAt.Add(exitSlack)) {
			return true
		}
	}
	return false
}

// checkSilence checks that a stream isn't cut off because a sound endpoint fell silent.
// Streams that an endpoint cut off and those near a disturbance other than a graceful
// shutdown are not checked. The caller holds j.mu.
func (j *Journal) checkSilence(c *Call, b Bounds) []Violation {
	if c.Kind != topol.Stream || c.Complete || c.Status != http.StatusOK || !c.AbandonedAt.IsZero() || c.EndedAt.IsZero() || c.EndedAt.Sub(c.SentAt) >= c.Timeout {
		return nil
	}
	silent := false
	for _, r := range c.Runs {
		if r.Truncated {
			return nil
		}
		silent = silent || r.Silent
	}
	if !silent {
		return nil
	}
	for _, d := range j.disturbances {
		if (d.Node == "" || d.Node == c.Node) && !d.IsGracefulShutdown && d.overlaps(c.SentAt.Add(-b.SettleTime), c.EndedAt) {
			return nil
		}
	}
	text := fmt.Sprintf("stream %s was cut off by %s %v after it was sent, beside a silence of an endpoint; runs: %d", c.ID, c.Node, c.EndedAt.Sub(c.SentAt), len(c.Runs))
	return []Violation{{"cut", text}}
}

// isRefused reports whether the answer says that the request has not run.
func (c *Call) isRefused() bool {
	return c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests
}

// checkRefusalOfAnswered checks that a request that may run again isn't refused although an
// endpoint answered it whole, as a node does that takes an earlier refusal for the answer.
// It skips disturbed nodes. The caller holds j.mu.
func (j *Journal) checkRefusalOfAnswered(c *Call, b Bounds) []Violation {
	if c.Kind == topol.Once || !c.isRefused() || !j.isUndisturbed(c.Node, c.EndedAt, b.SettleTime+c.EndedAt.Sub(c.SentAt)) {
		return nil
	}
	for _, r := range c.Runs {
		if !r.Truncated && !r.Cancelled && !r.EndedAt.IsZero() && r.EndedAt.Before(c.EndedAt) {
			return []Violation{{"refused", fmt.Sprintf("request %s of kind %s was answered %d by %s, and %s had answered it whole", c.ID, c.Kind, c.Status, c.Node, r.Endpoint)}}
		}
	}
	return nil
}
