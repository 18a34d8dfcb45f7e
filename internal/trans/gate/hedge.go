package gate

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Reasons for which a silent endpoint is waited for and no other one is tried beside it.
const (
	errNoFurtherRun = errors.ConstError("the request may run at no other endpoint")
	errNoBudget     = errors.ConstError("no retries are left in the budget of the service")
)

// errSuperseded is the reason for which a silent endpoint is left.
const errSuperseded = errors.ConstError("another endpoint answered while this one was silent")

// OutlastsDeadline implements conns.DeadlineHandler: it is called if a read from the endpoint
// has passed its deadline, and reports whether the attempt reads on. A silent endpoint is left
// only for one that has answered.
func (a *attempt) OutlastsDeadline() bool {
	now := time.Now()
	wantsOther, isStopped := a.takeInterrupt()
	if isStopped || !now.Before(a.hardDeadline()) {
		return false
	}
	// The current attempt is read by the exchange's goroutine, the others by their own.
	if !a.isCurrent() {
		a.wait.prolong(now)
	} else if !a.outlastSilence(wantsOther, now) {
		return false
	}
	a.setReadDeadline()
	return true
}

// takeInterrupt returns why reads from the endpoint were interrupted.
func (a *attempt) takeInterrupt() (wantsOther, isStopped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wantsOther = a.wantsOther
	a.wantsOther = false
	return wantsOther, a.callerDisconnected || a.isCancelled || a.isGivenUp
}

func (a *attempt) isCurrent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current == a
}

// outlastSilence tries another endpoint if it is time to. It returns false once another one
// has answered, which is then the exchange's next attempt.
func (a *attempt) outlastSilence(wantsOther bool, now time.Time) bool {
	x := a.exchange
	if x.next = x.takeReport(); x.next != nil {
		return false
	}
	isDue := a.wait.length > 0 && !now.Before(a.wait.askAt)
	if !isDue && !wantsOther {
		return true
	}
	isNew := !a.isSilent
	a.isSilent = true
	a.wait.prolong(now)
	err := x.startAnother(now)
	if isNew {
		x.recordSilence(a, err, now)
	}
	return true
}

// goesOn records that the attempt has something to pass on, which makes it the one that
// answers the request.
func (a *attempt) goesOn() {
	a.cancelOthers()
	if a.isSilent {
		a.isSilent = false
		a.server.clearLost(a.choice.Primary.Name)
		a.server.endpointHealth.recordSuccess(a.choice.Primary.Name)
	}
}

// startAnother starts an attempt at another endpoint beside those under way, if the request
// may run there and the endpoint has room for it.
func (x *exchange) startAnother(now time.Time) error {
	if !x.mayRunElsewhere(now) {
		return errNoFurtherRun
	}
	if barred, _ := x.barredParts(); len(barred) > 0 {
		return errCrashesEndpoints
	}
	c, _, err := x.choose()
	if err != nil {
		return err
	}
	if !x.takeLimit(c.Primary) {
		return errLimited
	}
	if !x.server.takeRetry(x.service.Name) {
		x.releaseUnsent(c.Primary)
		return errNoBudget
	}
	x.server.endpointHealth.recordChosen(c.Primary.Name, now)
	b := x.newAttempt(c)
	x.addOther(b)
	go b.runBeside()
	return nil
}

// mayRunElsewhere reports whether the request may run at another endpoint beside the attempts
// under way.
func (x *exchange) mayRunElsewhere(now time.Time) bool {
	running := len(x.others)
	if x.current != nil {
		running++
	}
	return x.route.Repeatable() && x.position.isResumable() && x.possibleRuns+running < x.route.Attempts &&
		x.sends < maxSends && x.trial == nil && now.Before(x.deadline) && !x.isCallerDisconnected()
}

func (x *exchange) addOther(b *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.others = append(x.others, b)
	if x.reports == nil {
		x.reports = make(chan *attempt, maxSends)
	}
}

// runBeside runs an attempt beside the current one, up to the point at which its answer can
// be passed on.
func (a *attempt) runBeside() {
	a.isReady = a.begin()
	if !a.isReady {
		a.end()
	}
	if !a.report() && a.isReady {
		a.end()
	}
}

// report passes an attempt beside the current one to the exchange, and interrupts the reads of
// the current one. It returns false if the attempt was cancelled.
func (a *attempt) report() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isCancelled {
		return false
	}
	a.reports <- a
	if c := a.current; c != nil && c.isAttached {
		c.link.SetReadDeadline(conns.Expired)
	}
	return true
}

// takeReport returns an attempt whose answer can be passed on, or nil if there is none. It
// settles those that have failed.
func (x *exchange) takeReport() *attempt {
	for {
		select {
		case b := <-x.reports:
			if x.settleReport(b) {
				return b
			}
		default:
			return nil
		}
	}
}

// settleReport takes an attempt off the others. It returns false, and settles the attempt, if
// its answer can't be passed on.
func (x *exchange) settleReport(b *attempt) bool {
	x.removeOther(b)
	if b.isReady {
		return true
	}
	if !x.isCallerDisconnected() {
		x.settle(b, time.Now())
	}
	return false
}

func (x *exchange) removeOther(b *attempt) {
	for i, o := range x.others {
		if o == b {
			x.others = append(x.others[:i], x.others[i+1:]...)
			return
		}
	}
}

// awaitOther waits for the attempts under way after the current one has ended. It returns the
// first whose answer can be passed on, or nil if there is none.
func (x *exchange) awaitOther() *attempt {
	for len(x.others) > 0 {
		t := time.NewTimer(max(minAskInterval, x.others[0].headerWait()))
		select {
		case b := <-x.reports:
			if x.settleReport(b) {
				t.Stop()
				return b
			}
		case now := <-t.C:
			x.startAnother(now)
		}
		t.Stop()
	}
	return nil
}

// cancelOthers ends the attempts beside the current one. They count as possible runs, but not
// as failures of their endpoints.
func (x *exchange) cancelOthers() {
	if len(x.others) == 0 {
		return
	}
	x.mu.Lock()
	for _, b := range x.others {
		b.isCancelled = true
		b.interrupt()
	}
	x.mu.Unlock()
	// Cancelled attempts don't report any more.
	for b := x.takeReport(); b != nil; b = x.takeReport() {
		x.endNext(b)
	}
	for _, b := range x.others {
		x.recordCancelled(b)
	}
	x.others = nil
}

// recordCancelled records that another attempt was first.
func (x *exchange) recordCancelled(b *attempt) {
	x.mu.Lock()
	mayHaveRun := b.wasAttached
	x.mu.Unlock()
	if mayHaveRun {
		x.possibleRuns++
		x.sentTo = append(x.sentTo, b.choice.Primary.Address)
	}
	x.server.getMetrics().sends.WithLabelValues(cancelled.String()).Inc()
}

// eachRunning calls f with the choice of each of all attempts under way.
func (x *exchange) eachRunning(f func(place.Choice)) {
	if x.current != nil {
		f(x.current.choice)
	}
	for _, b := range x.others {
		f(b.choice)
	}
}
