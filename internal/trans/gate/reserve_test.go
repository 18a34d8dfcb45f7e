package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against STUCK: a prompt whose last engine does not begin to answer kept the memory
// that was reserved for it until the deadline, since no other engine might run it.
func TestUnusedMemoryIsNotKeptUntilTheDeadline(t *testing.T) {
	const maxUnused = 9 * time.Second
	began := time.Now()
	cases := []struct {
		name         string
		possibleRuns int
		reservations []ident.Tokens
		estimate     time.Duration
		// bounded is set if the wait must be shorter than maxUnused.
		bounded bool
	}{
		{"last run", 1, []ident.Tokens{1000}, time.Second, true},
		{"long estimate", 0, []ident.Tokens{1000}, 5 * time.Second, true},
		{"nothing reserved", 1, nil, time.Second, false},
	}
	for _, c := range cases {
		x := &exchange{
			server: &Server{MaxUnusedMemory: maxUnused}, deadline: began.Add(15 * time.Second), possibleRuns: c.possibleRuns,
			route: &topol.Route{Kind: topol.Stream, Resumable: true, Attempts: 2, Target: time.Second},
		}
		a := &attempt{exchange: x, startedAt: began, choice: place.Choice{Reservations: c.reservations, Estimate: c.estimate}}
		test.Eq(t, c.bounded, a.hardDeadline().Before(began.Add(maxUnused)), test.Sprint(c.name))
	}
}
