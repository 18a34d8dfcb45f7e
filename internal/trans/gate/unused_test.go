package gate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// errLost means that the answer to a call was lost.
const errLost = errors.ConstError("the answer is lost")

// expiringEngine keeps one reservation as an engine does, and loses calls or their answers.
type expiringEngine struct {
	// callDelay is the time until a call takes effect. Above reservationCallTimeout, its answer
	// is lost. outage is the time after the first call in which calls don't arrive.
	callDelay time.Duration
	outage    [2]time.Duration
	// losesReleases is set if no release arrives.
	losesReleases bool

	mu             sync.Mutex
	began          time.Time
	madeAt, endsAt time.Time
	// held is the longest time for which the reservation was held without a break.
	held time.Duration
}

// call calls f after the delay, unless the call is lost.
func (e *expiringEngine) call(ctx context.Context, f func(now time.Time)) error {
	e.mu.Lock()
	if e.began.IsZero() {
		e.began = time.Now()
	}
	age := time.Since(e.began)
	e.mu.Unlock()
	if age >= e.outage[0] && age < e.outage[1] {
		return errLost
	}
	time.AfterFunc(e.callDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		f(time.Now())
	})
	select {
	case <-ctx.Done():
		return errLost
	case <-time.After(e.callDelay + time.Nanosecond):
		return nil
	}
}

func (e *expiringEngine) Reserve(ctx context.Context, _ *topol.Endpoint, r relay.Reservation) error {
	return e.call(ctx, func(now time.Time) {
		if !now.Before(e.endsAt) {
			e.madeAt = now
		}
		e.endsAt = now.Add(r.TTL)
		e.held = max(e.held, e.endsAt.Sub(e.madeAt))
	})
}

func (e *expiringEngine) Release(ctx context.Context, _ *topol.Endpoint, _ string) error {
	if e.losesReleases {
		return errLost
	}
	return e.call(ctx, func(now time.Time) { e.endsAt = now })
}

// longestHeld returns the longest time for which the reservation was held without a break.
func (e *expiringEngine) longestHeld() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// holds reports whether there is a reservation, and since when.
func (e *expiringEngine) holds() (since time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.madeAt, time.Now().Before(e.endsAt)
}

// reserveAt reserves memory at an engine for a server with the deployments' bound.
func reserveAt(t *testing.T, e *expiringEngine) *reservationSet {
	s := &Server{Reserver: e, Logger: zerolog.Nop(), Node: "n", MaxUnusedMemory: 9 * time.Second}
	rs, _ := s.reserve(t.Context(), place.Choice{Helpers: []*topol.Endpoint{{Name: "h"}}, Reservations: []ident.Tokens{1000}})
	must.NotNil(t, rs)
	return rs
}

// Guards against STUCK: memory that stays reserved beyond the bound since the release of a prompt
// without a first event was lost, or since a renewal took effect late.
func TestUnusedMemoryExpiresBeforeTheBound(t *testing.T) {
	const maxUnused = 9 * time.Second
	cases := []struct {
		name      string
		callDelay time.Duration
		// lives is how long the prompt is not given up.
		lives time.Duration
	}{
		{"release is lost", 0, maxUnused - releaseMargin},
		{"release is lost, calls take effect late", reservationCallTimeout - time.Millisecond, maxUnused - releaseMargin},
		{"release is lost after a renewal", 0, 6100 * time.Millisecond},
		{"nobody gives the prompt up", 0, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &expiringEngine{callDelay: c.callDelay, losesReleases: true}
				rs := reserveAt(t, e)
				time.Sleep(c.lives - time.Since(rs.since))
				rs.stopAndRelease()
				time.Sleep(time.Minute)
				synctest.Wait()
				test.LessEq(t, maxUnused, e.longestHeld())
			})
		})
	}
}

// Guards against renewals whose answers are lost and that take effect only after the call has been
// given up.
func TestLateRenewalOfUnusedMemoryEndsBeforeTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &expiringEngine{losesReleases: true}
		rs := reserveAt(t, e)
		e.mu.Lock()
		e.callDelay = 2 * reservationCallTimeout
		e.mu.Unlock()
		time.Sleep(7500 * time.Millisecond)
		rs.stopAndRelease()
		time.Sleep(time.Minute)
		synctest.Wait()
		test.LessEq(t, 9*time.Second, e.longestHeld())
	})
}

// Guards against memory that expires before the prompt is given up, or while its answer is being
// written.
func TestUsedMemoryStaysReserved(t *testing.T) {
	cases := []struct {
		name string
		// firstEvent is the time from the reservation to the first event.
		firstEvent time.Duration
		outage     [2]time.Duration
	}{
		{"early first event", time.Second, [2]time.Duration{}},
		{"first event just before the prompt is given up", 7499 * time.Millisecond, [2]time.Duration{}},
		{"the renewal at the first event is lost", 7499 * time.Millisecond, [2]time.Duration{7400 * time.Millisecond, 7700 * time.Millisecond}},
		{"a renewal is lost", time.Second, [2]time.Duration{5500 * time.Millisecond, 6500 * time.Millisecond}},
		{"renewals are lost before the first event", 6 * time.Second, [2]time.Duration{4500 * time.Millisecond, 6500 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const lives = 20 * time.Second
				e := &expiringEngine{outage: c.outage}
				rs := reserveAt(t, e)
				time.Sleep(c.firstEvent)
				rs.markUsed()
				time.Sleep(lives - c.firstEvent)
				since, ok := e.holds()
				test.True(t, ok)
				test.True(t, rs.since.Equal(since), test.Sprint("the reservation has expired once"))
				rs.stopAndRelease()
				synctest.Wait()
				time.Sleep(time.Second)
				_, ok = e.holds()
				test.False(t, ok, test.Sprint("released"))
			})
		})
	}
}

// Guards against renewals that stay cut after the first event of a prompt has arrived.
func TestFirstEventMarksMemoryAsUsed(t *testing.T) {
	first := newParts()
	e := newEndpoint(t, "a", first.script)
	es := []*scriptedEndpoint{e}
	for i := range 11 {
		es = append(es, e.alias(string(rune('b'+i))))
	}
	r := newConfiguredRig(t, 0, func(s *Server) { s.MaxUnusedMemory = reservationTTL + expiryMargin/2 }, es...)
	longest := func() (ttl time.Duration) {
		r.reserver.mu.Lock()
		defer r.reserver.mu.Unlock()
		for _, reservation := range r.reserver.reserved {
			ttl = max(ttl, reservation.TTL)
		}
		return ttl
	}
	go func() {
		waitFor(t, func() bool { return len(e.requests()) == 1 })
		test.Less(t, reservationTTL, longest())
		first.next <- streamHead + chunked(event(1))
		waitFor(t, func() bool { return longest() == reservationTTL })
		first.next <- chunked(event(2)) + lastChunk
	}()
	res := r.do(request("POST", "/stream/", "r1", "x", "Prompt: 150000"))
	test.NoError(t, res.err)
	test.Eq(t, event(1)+event(2), res.body)
}
