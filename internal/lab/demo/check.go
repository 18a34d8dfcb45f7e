package demo

import (
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// limitSlack is the time beyond its limit that a request may take because of
	// delays on the caller's side.
	limitSlack = 500 * time.Millisecond
	// leaveBound is the time after which a leaving endpoint must not receive new
	// requests.
	leaveBound = 3 * time.Second
)

// Invariant is the result of checking one guarantee of the system in a run.
type Invariant struct {
	// Name states the guarantee.
	Name string
	// Held is set if the guarantee was observed to hold.
	Held bool
	// Evidence is a text with the figures behind Held.
	Evidence string
	// Timed is set if the guarantee bounds a duration, so that a slow or busy
	// host can violate it.
	Timed bool
}

func (d *Demo) check(rs []load.Result) []Invariant {
	return []Invariant{
		checkLimits(rs),
		d.checkMemory(),
		checkAnswers(rs),
		checkUnanswered(rs),
		d.checkNotRun(rs),
		d.checkAtMostOnce(rs),
		d.checkLeaving(),
		d.checkGracefulShutdown(rs),
		d.checkVersions(),
	}
}

// checkLimits checks that no request took more than limitSlack beyond its time
// limit.
func checkLimits(rs []load.Result) Invariant {
	late, longest := 0, time.Duration(0)
	for _, r := range rs {
		if r.Took > r.Limit+limitSlack {
			late++
		}
		longest = max(longest, r.Took)
	}
	return Invariant{
		Name:     "each admitted request finishes or fails within its time limit",
		Timed:    true,
		Held:     late == 0,
		Evidence: fmt.Sprintf("%d of %d requests were late, the slowest took %s", late, len(rs), longest.Round(time.Millisecond)),
	}
}

// checkMemory checks that the engines release all KV memory within
// engineIdleTimeout after the load.
func (d *Demo) checkMemory() Invariant {
	end := time.Now().Add(engineIdleTimeout)
	var held ident.Tokens
	for {
		held = 0
		for _, e := range d.Fleet.Engines {
			held += e.UsedMemory()
		}
		if held == 0 || time.Now().After(end) {
			break
		}
		time.Sleep(pollInterval)
	}
	return Invariant{
		Name:     "no engine loses memory permanently",
		Held:     held == 0,
		Evidence: fmt.Sprintf("%d tokens held on %d engines after the load", held, len(d.Fleet.Engines)),
	}
}

// checkAnswers checks that no answer was wrong or incomplete, and that at least
// one was complete.
func checkAnswers(rs []load.Result) Invariant {
	whole, wrong, incomplete := 0, 0, 0
	for _, r := range rs {
		switch {
		case r.Wrong:
			wrong++
		case r.Outcome == ident.Answered && !r.Whole:
			incomplete++
		case r.Whole:
			whole++
		}
	}
	return Invariant{
		Name:     "callers receive the whole answer to their own request",
		Held:     wrong == 0 && incomplete == 0 && whole > 0,
		Evidence: fmt.Sprintf("%d whole answers compared token by token, %d wrong, %d cut", whole, wrong, incomplete),
	}
}

// checkNotRun checks that the services ran no booking for which every response
// reported "not run".
func (d *Demo) checkNotRun(rs []load.Result) Invariant {
	ran := d.Fleet.Runs.Counts()
	reportedOtherwise := map[string]bool{}
	reportedNotRun := map[string]bool{}
	for _, r := range rs {
		if r.Kind != load.Booking {
			continue
		}
		if r.Outcome == ident.NotRun {
			reportedNotRun[r.Key] = true
		} else {
			reportedOtherwise[r.Key] = true
		}
	}
	untrue := 0
	for k := range reportedNotRun {
		if !reportedOtherwise[k] && ran[k] > 0 {
			untrue++
		}
	}
	return Invariant{
		Name:     `"not run" is always true`,
		Held:     untrue == 0,
		Evidence: fmt.Sprintf("%d bookings were told so, %d of them had run", len(reportedNotRun), untrue),
	}
}

// checkAtMostOnce checks that no booking ran twice, that none was answered
// without a run, and that at least one ran.
func (d *Demo) checkAtMostOnce(rs []load.Result) Invariant {
	ran := d.Fleet.Runs.Counts()
	twice, sent := 0, map[string]int{}
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	answeredWithoutRun := 0
	for _, r := range rs {
		if r.Kind == load.Booking {
			sent[r.Key]++
			if r.Outcome == ident.Answered && ran[r.Key] == 0 {
				answeredWithoutRun++
			}
		}
	}
	sentTwice := 0
	for _, n := range sent {
		if n > 1 {
			sentTwice++
		}
	}
	return Invariant{
		Name:     "a booking runs at most once",
		Held:     twice == 0 && answeredWithoutRun == 0 && len(ran) > 0,
		Evidence: fmt.Sprintf("%d bookings ran, %d of them twice; %d were sent twice at once; %d were answered without a run", len(ran), twice, sentTwice, answeredWithoutRun),
	}
}

// checkLeaving checks that the leaving engine received no new request more than
// leaveBound after it was marked.
func (d *Demo) checkLeaving() Invariant {
	late, last := 0, time.Duration(0)
	for _, arrival := range d.Fleet.Engines[d.leaving.index].Arrivals() {
		after := arrival.Sub(d.leaving.since)
		if after > leaveBound {
			late++
		}
		last = max(last, after)
	}
	return Invariant{
		Name:     "an endpoint that is leaving receives no new work after a few seconds",
		Timed:    true,
		Held:     late == 0 && !d.leaving.since.IsZero(),
		Evidence: fmt.Sprintf("last new work %s after it began to leave, %d later than %s", last.Round(time.Millisecond), late, leaveBound),
	}
}

// checkUnanswered checks that each request that was sent got an answer or a refusal. No
// node is killed.
func checkUnanswered(rs []load.Result) Invariant {
	n := 0
	for _, r := range rs {
		if r.Unanswered {
			n++
		}
	}
	return Invariant{
		Name:     "a request gets an answer or a refusal",
		Held:     n == 0,
		Evidence: fmt.Sprintf("%d of %d requests were sent and their connections ended without a response", n, len(rs)),
	}
}

// checkGracefulShutdown checks that no request sent to the node's address before
// its restart failed, and that the node stopped without an error.
func (d *Demo) checkGracefulShutdown(rs []load.Result) Invariant {
	cut, sent := 0, 0
	for _, r := range rs {
		if r.Node != d.shutdown.addr {
			continue
		}
		sent++
		if r.Error != "" {
			cut++
		}
	}
	return Invariant{
		Name:     "a planned stop cuts off no request",
		Held:     cut == 0 && d.shutdown.err == nil && d.shutdown.addr != "",
		Evidence: fmt.Sprintf("the stopped node took %d requests and cut %d; it ended after %s with error: %v", sent, cut, d.shutdown.took.Round(time.Millisecond), d.shutdown.err),
	}
}

// checkVersions checks that each accepted version came into force at all nodes
// within inForceBound, that no node went back to an older one, and that exactly
// one patch of each conflicting pair was accepted and the other was stale. At
// least one pair must have been submitted.
func (d *Demo) checkVersions() Invariant {
	longest, missing, reads, reverted := d.monitor.result()
	verdicts := d.verdicts
	return Invariant{
		Name:  "an accepted version is in force everywhere within seconds and never reverts",
		Timed: true,
		Held:  missing == 0 && len(reverted) == 0 && longest <= inForceBound && len(verdicts.violations) == 0 && verdicts.accepted > 0,
		Evidence: fmt.Sprintf("%d accepted and %d stale in %d races of two patches, slowest in force after %s, %d missing, %d reversals in %d reads %v",
			verdicts.accepted, verdicts.stale, verdicts.rounds, longest.Round(time.Millisecond), missing, len(reverted), reads, append(reverted, verdicts.violations...)),
	}
}
