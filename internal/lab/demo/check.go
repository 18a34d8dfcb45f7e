package demo

import (
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// limitSlack is what the caller's own side may add to a limit.
	limitSlack = 500 * time.Millisecond
	// leaveBound is how soon new work must stop at an endpoint that leaves.
	leaveBound = 3 * time.Second
)

// Invariant is one promise with what was seen of it.
type Invariant struct {
	Name     string
	Held     bool
	Evidence string
	// Timed tells that the promise is a bound on time.
	Timed bool
}

func (d *Demo) check(rs []load.Result) []Invariant {
	return []Invariant{
		checkLimits(rs),
		d.checkMemory(),
		checkWhole(rs),
		d.checkNotRun(rs),
		d.checkOnce(rs),
		d.checkLeaving(),
		d.checkStop(rs),
		d.checkVersions(),
	}
}

func checkLimits(rs []load.Result) Invariant {
	late, slowest := 0, time.Duration(0)
	for _, r := range rs {
		if r.Took > r.Limit+limitSlack {
			late++
		}
		slowest = max(slowest, r.Took)
	}
	return Invariant{
		Name:     "each admitted request finishes or fails within its time limit",
		Timed:    true,
		Held:     late == 0,
		Evidence: fmt.Sprintf("%d of %d requests were late, the slowest took %s", late, len(rs), slowest.Round(time.Millisecond)),
	}
}

// checkMemory waits for the engines to become idle.
func (d *Demo) checkMemory() Invariant {
	end := time.Now().Add(quietTime)
	var held ident.Tokens
	for {
		held = 0
		for _, e := range d.Fleet.Engines {
			held += e.UsedMemory()
		}
		if held == 0 || time.Now().After(end) {
			break
		}
		time.Sleep(watchEvery)
	}
	return Invariant{
		Name:     "no engine loses memory permanently",
		Held:     held == 0,
		Evidence: fmt.Sprintf("%d tokens held on %d engines after the load", held, len(d.Fleet.Engines)),
	}
}

func checkWhole(rs []load.Result) Invariant {
	whole, wrong, cut := 0, 0, 0
	for _, r := range rs {
		switch {
		case r.Wrong:
			wrong++
		case r.Outcome == ident.Answered && !r.Whole:
			cut++
		case r.Whole:
			whole++
		}
	}
	return Invariant{
		Name:     "callers receive the whole answer to their own request",
		Held:     wrong == 0 && cut == 0 && whole > 0,
		Evidence: fmt.Sprintf("%d whole answers compared token by token, %d wrong, %d cut", whole, wrong, cut),
	}
}

// checkNotRun compares the keys for which all answers were "not run" with the
// runs that the services counted.
func (d *Demo) checkNotRun(rs []load.Result) Invariant {
	ran := d.Fleet.Runs.Counts()
	others := map[string]bool{}
	told := map[string]bool{}
	for _, r := range rs {
		if r.Kind != load.Booking {
			continue
		}
		if r.Outcome == ident.NotRun {
			told[r.Key] = true
		} else {
			others[r.Key] = true
		}
	}
	lies := 0
	for k := range told {
		if !others[k] && ran[k] > 0 {
			lies++
		}
	}
	return Invariant{
		Name:     `"not run" is always true`,
		Held:     lies == 0,
		Evidence: fmt.Sprintf("%d bookings were told so, %d of them had run", len(told), lies),
	}
}

func (d *Demo) checkOnce(rs []load.Result) Invariant {
	ran := d.Fleet.Runs.Counts()
	twice, repeats := 0, map[string]int{}
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	unanswered := 0
	for _, r := range rs {
		if r.Kind == load.Booking {
			repeats[r.Key]++
			if r.Outcome == ident.Answered && ran[r.Key] == 0 {
				unanswered++
			}
		}
	}
	sentTwice := 0
	for _, n := range repeats {
		if n > 1 {
			sentTwice++
		}
	}
	return Invariant{
		Name:     "a booking runs at most once",
		Held:     twice == 0 && unanswered == 0 && len(ran) > 0,
		Evidence: fmt.Sprintf("%d bookings ran, %d of them twice; %d were sent twice at once; %d were answered without a run", len(ran), twice, sentTwice, unanswered),
	}
}

func (d *Demo) checkLeaving() Invariant {
	late, last := 0, time.Duration(0)
	for _, at := range d.Fleet.Engines[d.left.engine].Arrivals() {
		after := at.Sub(d.left.at)
		if after > leaveBound {
			late++
		}
		last = max(last, after)
	}
	return Invariant{
		Name:     "an endpoint that is leaving receives no new work after a few seconds",
		Timed:    true,
		Held:     late == 0 && !d.left.at.IsZero(),
		Evidence: fmt.Sprintf("last new work %s after it began to leave, %d later than %s", last.Round(time.Millisecond), late, leaveBound),
	}
}

func (d *Demo) checkStop(rs []load.Result) Invariant {
	cut, served := 0, 0
	for _, r := range rs {
		if r.Node != d.stopped.addr {
			continue
		}
		served++
		if r.Error != "" {
			cut++
		}
	}
	return Invariant{
		Name:     "a planned stop cuts off no request",
		Held:     cut == 0 && d.stopped.err == nil && d.stopped.addr != "",
		Evidence: fmt.Sprintf("the stopped node took %d requests and cut %d; it ended after %s with error: %v", served, cut, d.stopped.took.Round(time.Millisecond), d.stopped.err),
	}
}

func (d *Demo) checkVersions() Invariant {
	slowest, missing, reads, reverted := d.watch.result()
	v := d.verdicts
	return Invariant{
		Name:  "an accepted version is in force everywhere within seconds and never reverts",
		Timed: true,
		Held:  missing == 0 && len(reverted) == 0 && slowest <= inForceBound && len(v.wrong) == 0 && v.accepted > 0,
		Evidence: fmt.Sprintf("%d accepted and %d stale in %d races of two patches, slowest in force after %s, %d missing, %d reversals in %d reads %v",
			v.accepted, v.stale, v.rounds, slowest.Round(time.Millisecond), missing, len(reverted), reads, append(reverted, v.wrong...)),
	}
}
