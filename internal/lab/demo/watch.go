package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

type patchRequest = admin.PatchRequest

const (
	pollInterval = 20 * time.Millisecond
	// inForceBound is how soon an accepted version must be in force.
	inForceBound = 10 * time.Second
	settleTime   = time.Second
)

// versionMonitor observes the version in force at each node.
type versionMonitor struct {
	fleet *fleet.Fleet

	mu         sync.Mutex
	paused     map[int]bool
	seen       map[int]ident.Version
	acceptedAt map[ident.Version]time.Time
	slowest    time.Duration
	reverted   []string
	reads      int
}

func newVersionMonitor(f *fleet.Fleet) *versionMonitor {
	return &versionMonitor{fleet: f, paused: map[int]bool{}, seen: map[int]ident.Version{}, acceptedAt: map[ident.Version]time.Time{}}
}

func (w *versionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range w.fleet.Nodes {
			w.poll(i)
		}
		time.Sleep(pollInterval)
	}
}

func (w *versionMonitor) poll(i int) {
	w.mu.Lock()
	skip := w.paused[i]
	w.mu.Unlock()
	if skip {
		return
	}
	c, err := w.fleet.Client(i).Config()
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused[i] {
		return
	}
	w.reads++
	if c.Version < w.seen[i] {
		w.reverted = append(w.reverted, fmt.Sprintf("node %d went from version %d to %d", i, w.seen[i], c.Version))
	}
	w.seen[i] = c.Version
	w.recordPropagated(time.Now())
}

// recordPropagated notes how long the versions took that all nodes have now.
func (w *versionMonitor) recordPropagated(now time.Time) {
	for v, at := range w.acceptedAt {
		if w.isInForceEverywhere(v) {
			w.slowest = max(w.slowest, now.Sub(at))
			delete(w.acceptedAt, v)
		}
	}
}

func (w *versionMonitor) isInForceEverywhere(v ident.Version) bool {
	for i := range w.fleet.Nodes {
		if !w.paused[i] && w.seen[i] < v {
			return false
		}
	}
	return true
}

// recordAccepted notes that a version was recordAccepted.
func (w *versionMonitor) recordAccepted(v ident.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedAt[v] = time.Now()
}

// pause stops watching a node that is stopped.
func (w *versionMonitor) pause(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[i] = true
}

// resume watches a node that was started again, which may only have caught up
// in part.
func (w *versionMonitor) resume(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[i] = false
	w.seen[i] = 0
}

// settleDelay is the time to let the last version come into force.
func (w *versionMonitor) settleDelay() time.Duration { return settleTime }

// result returns the findings: the slowest spread, versions still missing
// somewhere, and reversals.
func (w *versionMonitor) result() (slowest time.Duration, missing, reads int, reverted []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, len(w.acceptedAt), w.reads, w.reverted
}

func (v *patchVerdicts) add(results []string) {
	v.rounds++
	accepted := 0
	for _, r := range results {
		switch r {
		case string(admin.Accepted):
			accepted++
		case string(admin.Stale):
			v.stale++
		default:
			v.violations = append(v.violations, "a patch was "+r)
		}
	}
	v.accepted += accepted
	if accepted != 1 {
		v.violations = append(v.violations, fmt.Sprintf("%d patches on one base were accepted", accepted))
	}
}
