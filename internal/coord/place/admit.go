package place

import "time"

const (
	// freeBacklog is the mean backlog up to which prompts of all sizes are
	// taken that the engines can read soon, and busyBacklog that from which only
	// those are taken that are within busyWork.
	freeBacklog = 150 * time.Millisecond
	busyBacklog = 500 * time.Millisecond
	// freeWork and busyWork are the time that a prompt may take of each engine,
	// if all read it, at these backlogs. The pairs of its tokens make that grow
	// with the square of the size, so the largest prompts take the place of
	// many others.
	freeWork = time.Second
	busyWork = 400 * time.Millisecond
)

// costly reports whether a prompt takes too much of the engines at their
// present load.
func costly(vs []*view, r Request) bool {
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
		return r.patient()
	}
	load := ramp(sum/n, freeBacklog, busyBacklog)
	most := freeWork - time.Duration(load*float64(freeWork-busyWork))
	return vs[0].read(split(r.Prompt, 1)) > n*most
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
