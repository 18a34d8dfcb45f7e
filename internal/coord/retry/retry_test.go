package retry_test

import (
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
		{"a booking that was not sent goes again", retry.Input{Failure: retry.NotSent}, retry.Again, ""},
		{"a booking that was refused goes again", retry.Input{Failure: retry.Refused}, retry.Again, ""},
		{"a booking whose answer is lost is never repeated", retry.Input{Failure: retry.Lost}, retry.GiveUp, ident.Unknown},
		{"a lost idempotent request goes again", retry.Input{Failure: retry.Lost, Idempotent: true}, retry.Again, ""},
		{"a cut answer is resumed", retry.Input{Failure: retry.Cut, Idempotent: true, Delivered: true}, retry.Resume, ""},
		{"too many attempts", retry.Input{Failure: retry.NotSent, Attempts: 4}, retry.GiveUp, ident.NotRun},
		{"no time left", retry.Input{Failure: retry.Lost, Idempotent: true, Remaining: time.Millisecond}, retry.GiveUp, ident.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := c.in
			in.Budget = true
			if in.Remaining == 0 {
				in.Remaining = time.Second
			}
			d := retry.Decide(in, 0.5)
			test.Eq(t, c.action, d.Action)
			test.Eq(t, c.outcome, d.Outcome)
			in.Budget = false
			test.Eq(t, retry.GiveUp, retry.Decide(in, 0.5).Action)
		})
	}
}

func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	var b retry.Budget
	spend := func() (n int) {
		for b.Take() {
			n++
		}
		return n
	}
	burst := spend()
	test.Positive(t, burst)
	for range 100 {
		b.First(10)
	}
	test.Eq(t, 10, spend())
	for range 1_000_000 {
		b.First(10)
	}
	test.Eq(t, burst, spend())
}
