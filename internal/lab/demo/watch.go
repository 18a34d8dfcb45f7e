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

type adminPatch = admin.PatchRequest

const (
	watchEvery = 20 * time.Millisecond
	// inForceBound is how soon an accepted version must be in force.
	inForceBound = 10 * time.Second
	settleTime   = time.Second
)

// versionWatch observes the version in force at each node.
type versionWatch struct {
	fleet *fleet.Fleet

	mu       sync.Mutex
	paused   map[int]bool
	seen     map[int]ident.Version
	since    map[ident.Version]time.Time
	slowest  time.Duration
	reverted []string
	reads    int
}

func newVersionWatch(f *fleet.Fleet) *versionWatch {
	return &versionWatch{fleet: f, paused: map[int]bool{}, seen: map[int]ident.Version{}, since: map[ident.Version]time.Time{}}
}

func (w *versionWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range w.fleet.Nodes {
			w.look(i)
		}
		time.Sleep(watchEvery)
	}
}

func (w *versionWatch) look(i int) {
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
	w.checkOff(time.Now())
}

// checkOff notes how long the versions took that all nodes have now.
func (w *versionWatch) checkOff(now time.Time) {
	for v, at := range w.since {
		if w.everywhere(v) {
			w.slowest = max(w.slowest, now.Sub(at))
			delete(w.since, v)
		}
	}
}

func (w *versionWatch) everywhere(v ident.Version) bool {
	for i := range w.fleet.Nodes {
		if !w.paused[i] && w.seen[i] < v {
			return false
		}
	}
	return true
}

// accepted notes that a version was accepted.
func (w *versionWatch) accepted(v ident.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since[v] = time.Now()
}

// pause stops watching a node that is stopped.
func (w *versionWatch) pause(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[i] = true
}

// resume watches a node that was started again, which may only have caught up
// in part.
func (w *versionWatch) resume(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[i] = false
	w.seen[i] = 0
}

// settle is the time to let the last version come into force.
func (w *versionWatch) settle() time.Duration { return settleTime }

// result returns the findings: the slowest spread, versions still missing
// somewhere, and reversals.
func (w *versionWatch) result() (slowest time.Duration, missing, reads int, reverted []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, len(w.since), w.reads, w.reverted
}

func (v *verdicts) add(results []string) {
	v.rounds++
	accepted := 0
	for _, r := range results {
		switch r {
		case string(admin.Accepted):
			accepted++
		case string(admin.Stale):
			v.stale++
		default:
			v.wrong = append(v.wrong, "a patch was "+r)
		}
	}
	v.accepted += accepted
	if accepted != 1 {
		v.wrong = append(v.wrong, fmt.Sprintf("%d patches on one base were accepted", accepted))
	}
}
