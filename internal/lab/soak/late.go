package soak

import (
	"fmt"
	"net/http"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// checkLate checks that a plain request that a stopping node passed on got the answer of its
// endpoint: what may outlive the node must be refused before. It skips requests that an
// endpoint cut off, and those near a disturbance other than a graceful shutdown. The caller
// holds j.mu.
func (j *Journal) checkLate(c *Call, b Bounds) []Violation {
	if c.Kind == topol.Stream || len(c.Runs) == 0 || !c.AbandonedAt.IsZero() || c.EndedAt.IsZero() || !c.isUndecided() {
		return nil
	}
	for _, r := range c.Runs {
		if r.Truncated {
			return nil
		}
	}
	stopping := false
	for _, d := range j.disturbances {
		if d.Node != "" && d.Node != c.Node {
			continue
		}
		switch {
		case d.IsGracefulShutdown:
			stopping = stopping || d.overlaps(c.SentAt, c.SentAt)
		case d.overlaps(c.SentAt.Add(-b.SettleTime), c.EndedAt):
			return nil
		}
	}
	if !stopping {
		return nil
	}
	text := fmt.Sprintf("request %s of kind %s was passed on by %s during its stop and ended with status %d after %v; runs: %d",
		c.ID, c.Kind, c.Node, c.Status, c.EndedAt.Sub(c.SentAt), len(c.Runs))
	return []Violation{{"late", text}}
}

// isUndecided reports whether the caller doesn't know from the answer what an endpoint did.
func (c *Call) isUndecided() bool {
	return c.Status == 0 || c.Status == http.StatusBadGateway || c.Status == http.StatusGatewayTimeout
}
