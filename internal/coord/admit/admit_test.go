package admit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/admit"
)

func TestDecide(t *testing.T) {
	idle := admit.Input{
		Prompt: 1000, TimeLeft: time.Second,
		FirstToken: 20 * time.Millisecond, LastToken: 500 * time.Millisecond,
		Weight: 1, TotalWeight: 4, MaxRequests: 10, MaxTokens: 100_000,
	}
	cases := []struct {
		name   string
		change func(*admit.Input)
		code   admit.Code
	}{
		{"idle", func(*admit.Input) {}, ""},
		{"ends too late", func(in *admit.Input) { in.LastToken = 2 * time.Second }, admit.TooLate},
		{"request limit", func(in *admit.Input) { in.WorkspaceInFlight.Requests = 10 }, admit.TooManyRequests},
		{"token limit", func(in *admit.Input) { in.WorkspaceInFlight.Tokens = 99_500 }, admit.TooManyTokens},
		{"one prompt above the token limit is accepted alone", func(in *admit.Input) { in.Prompt = 200_000 }, ""},
		{"over share while idle", func(in *admit.Input) { in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens = 90_000, 100_000 }, ""},
		{"over share while busy", func(in *admit.Input) {
			in.Wait = 600 * time.Millisecond
			in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens = 90_000, 100_000
		}, admit.OverShare},
		{"within share while busy", func(in *admit.Input) {
			in.Wait = 600 * time.Millisecond
			in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens = 20_000, 100_000
		}, ""},
		{"over share, but the wait is shorter than the prefill", func(in *admit.Input) {
			in.Wait, in.FirstToken, in.LastToken, in.TimeLeft = 600*time.Millisecond, 2*time.Second, 3*time.Second, 4*time.Second
			in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens = 90_000, 100_000
		}, ""},
		{"only workspace while busy", func(in *admit.Input) {
			in.Wait = 600 * time.Millisecond
			in.WorkspaceInFlight.Tokens, in.FleetInFlight.Tokens = 90_000, 90_000
			in.TotalWeight = 1
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := idle
			c.change(&in)
			d := admit.Decide(in)
			test.Eq(t, c.code, d.Code)
			test.Eq(t, c.code == "", d.Admit)
			if !d.Admit {
				test.Positive(t, d.RetryAfter)
				test.NotEq(t, "", d.Reason)
			}
		})
	}
}
