package place

import "time"

const (
	// freeBacklog is the mean backlog up to which prompts of all sizes are
	// taken that are within freeWork, and busyBacklog that from which only those
	// within busyWork are.
	freeBacklog = 150 * time.Millisecond
	busyBacklog = 500 * time.Millisecond
	// freeWork and busyWork are the time of one engine that a prompt may take to
	// be read at these backlogs. The pairs of its tokens make that grow with the
	// square of the size, so the largest prompts take the place of many others.
	freeWork = 32 * time.Second
	busyWork = 8 * time.Second
	// leastGain is the share of its value that a prompt counts for even if it
	// is late.
	leastGain = 0.02
	// harmShare is the share of its probable worth that a prompt may cost
	// others.
	harmShare = 0.6
	// waitShare of the target, one in so many, must come from the backlog
	// before a prompt is told to come back: if it would be late anyway, waiting
	// doesn't help.
	waitShare = 10
)

// costly reports whether a prompt takes too much of the engines at their
// present load.
func costly(vs []*view, r Request) bool {
	work := vs[0].read(split(r.Prompt, 1))
	if work <= busyWork {
		return false
	}
	var sum time.Duration
	n := time.Duration(0)
	for _, v := range vs {
		if v.short {
			continue
		}
		sum += v.backlog
		n++
	}
	if n == 0 {
		return true
	}
	load := ramp(sum/n, freeBacklog, busyBacklog)
	most := freeWork - time.Duration(load*float64(freeWork-busyWork))
	return work > most
}

// defers reports whether a caller who bears pauses should come back when less
// waits to be read. Those who have come back are taken, unless that costs
// others more than it is worth.
func (p plan) defers(estimate time.Duration, r Request) bool {
	if !r.patient() {
		return false
	}
	if p.harmful(r) {
		return true
	}
	return !r.Returned && estimate > r.Target && p.backlog() > r.Target/waitShare
}

// backlog is the longest wait at the engines of a plan.
func (p plan) backlog() time.Duration {
	most := p.first.backlog
	for _, h := range p.helpers {
		most = max(most, h.backlog)
	}
	return most
}

// harmful reports whether a plan costs other prompts more than it is worth. A
// caller who has come back is given more.
func (p plan) harmful(r Request) bool {
	most := r.worth * max(leastGain, 1-lateRisk(p.end, r))
	if !r.Returned {
		most *= harmShare
	}
	return p.harm > most
}

const (
	// returnLeast is the least time after which a refused caller is told to
	// come back, returnPart the largest part of the time left.
	returnLeast = 700 * time.Millisecond
	returnPart  = 3
)

// ReturnAfter is the time after which a caller who was refused for load should
// come back: when what waits now is mostly read, but in time to be served.
func ReturnAfter(c Choice, r Request) time.Duration {
	return max(returnLeast, min(c.Estimate-r.Target/2, r.Left/returnPart))
}
