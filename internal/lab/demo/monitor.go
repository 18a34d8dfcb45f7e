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
	// pollInterval is the pause between two polls of the nodes' versions or of
	// the engines' memory.
	pollInterval = 20 * time.Millisecond
	// inForceBound is the time within which an accepted version must be in force
	// at all nodes.
	inForceBound = 10 * time.Second
	// settleTime is the wait after the load that allows the last accepted version
	// to come into force.
	settleTime = time.Second
)

// versionMonitor polls the configuration version in force at each node.
type versionMonitor struct {
	fleet *fleet.Fleet

	mu     sync.Mutex
	paused map[int]bool
	// seen is the last version seen at each node.
	seen map[int]ident.Version
	// acceptedAt holds, for each accepted version that is not yet in force
	// everywhere, when the verdicts on its pair of patches were received.
	acceptedAt map[ident.Version]time.Time
	// longestDelay is the longest time from acceptedAt until a version was in
	// force everywhere.
	longestDelay time.Duration
	// reverted describes the cases in which a node went back to an older version.
	reverted []string
	// reads counts the versions read.
	reads int
}

func newVersionMonitor(f *fleet.Fleet) *versionMonitor {
	return &versionMonitor{fleet: f, paused: map[int]bool{}, seen: map[int]ident.Version{}, acceptedAt: map[ident.Version]time.Time{}}
}

func (m *versionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range m.fleet.Nodes {
			m.poll(i)
		}
		time.Sleep(pollInterval)
	}
}

func (m *versionMonitor) poll(i int) {
	m.mu.Lock()
	skip := m.paused[i]
	m.mu.Unlock()
	if skip {
		return
	}
	config, err := m.fleet.Client(i).Config()
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused[i] {
		return
	}
	m.reads++
	if config.Version < m.seen[i] {
		m.reverted = append(m.reverted, fmt.Sprintf("node %d went from version %d to %d", i, m.seen[i], config.Version))
	}
	m.seen[i] = config.Version
	m.recordInForce(time.Now())
}

// recordInForce updates longestDelay with the versions that are now in force
// everywhere, and stops measuring them.
func (m *versionMonitor) recordInForce(now time.Time) {
	for v, acceptedAt := range m.acceptedAt {
		if m.isInForceEverywhere(v) {
			m.longestDelay = max(m.longestDelay, now.Sub(acceptedAt))
			delete(m.acceptedAt, v)
		}
	}
}

// isInForceEverywhere reports whether a version, or a later one, is in force at
// all nodes that are not paused.
func (m *versionMonitor) isInForceEverywhere(v ident.Version) bool {
	for i := range m.fleet.Nodes {
		if !m.paused[i] && m.seen[i] < v {
			return false
		}
	}
	return true
}

// recordAccepted starts the measurement for an accepted version.
func (m *versionMonitor) recordAccepted(v ident.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acceptedAt[v] = time.Now()
}

// pause stops polling a node that is going to be stopped.
func (m *versionMonitor) pause(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[i] = true
}

// resume polls a node again after its restart. It forgets the last version seen
// there: the node may still be catching up, so an older version is no reversal.
func (m *versionMonitor) resume(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[i] = false
	m.seen[i] = 0
}

// settleTime returns how long to wait for the last accepted version to come into
// force.
func (m *versionMonitor) settleTime() time.Duration { return settleTime }

// result returns the longest time until a version was in force everywhere, the
// number of accepted versions that are not yet in force everywhere, the number of
// reads, and the reversals.
func (m *versionMonitor) result() (longest time.Duration, missing, reads int, reverted []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longestDelay, len(m.acceptedAt), m.reads, m.reverted
}

// add records the verdicts on one pair of patches.
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
