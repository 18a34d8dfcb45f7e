package retry_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/retry"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		in      retry.Input
		action  retry.Action
		outcome ident.Outcome
	}{
		{"a non-idempotent request that was not sent is sent again", retry.Input{Failure: retry.NotSent}, retry.Restart, ""},
		{"a non-idempotent request that was refused is sent again", retry.Input{Failure: retry.Refused}, retry.Restart, ""},
		{"a non-idempotent request without an answer is never repeated", retry.Input{Failure: retry.Lost}, retry.GiveUp, ident.Unknown},
		{"a lost idempotent request is sent again", retry.Input{Failure: retry.Lost, Idempotent: true}, retry.Restart, ""},
		{"a truncated answer is resumed", retry.Input{Failure: retry.Truncated, Idempotent: true, Delivered: true}, retry.Resume, ""},
		{"too many attempts", retry.Input{Failure: retry.NotSent, Attempts: 4}, retry.GiveUp, ident.NotRun},
		{"no time left", retry.Input{Failure: retry.Lost, Idempotent: true, TimeLeft: time.Millisecond}, retry.GiveUp, ident.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := c.in
			taken := 0
			in.TakeRetry = func() bool { taken++; return true }
			if in.TimeLeft == 0 {
				in.TimeLeft = time.Second
			}
			d := retry.Decide(in, 0.5)
			test.Eq(t, c.action, d.Action)
			test.Eq(t, c.outcome, d.Outcome)
			// Guards against a budget that is spent on retries which are never made.
			test.Eq(t, d.Action != retry.GiveUp, taken == 1, test.Sprint("retries taken from the budget: ", taken))
			in.TakeRetry = func() bool { return false }
			test.Eq(t, retry.GiveUp, retry.Decide(in, 0.5).Action)
		})
	}
}

func TestBudgetIsProportionalToFirstAttempts(t *testing.T) {
	var b retry.Budget
	spend := func() (n int) {
		for b.TakeRetry() {
			n++
		}
		return n
	}
	burst := spend()
	test.Positive(t, burst)
	for range 100 {
		b.AddFirstAttempt(10)
	}
	test.Eq(t, 10, spend())
	for range 1_000_000 {
		b.AddFirstAttempt(10)
	}
	test.Eq(t, burst, spend())
}

// Guards against a retry that a first attempt at the same time erases from the budget.
func TestConcurrentFirstAttemptErasesNoRetry(t *testing.T) {
	const rounds, percent, burst = 20_000, 1, 20
	erased := 0
	for range rounds {
		var b retry.Budget
		var wg sync.WaitGroup
		wg.Go(func() { b.AddFirstAttempt(percent) })
		wg.Go(func() { b.TakeRetry() })
		wg.Wait()
		further := 0
		for b.TakeRetry() {
			further++
		}
		if further >= burst {
			erased++
		}
	}
	test.Zero(t, erased)
}
