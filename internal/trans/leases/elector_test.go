package leases_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/leases"
	"laburnumstack.org/laburnum/pkg/ident"
)

const length = 6 * time.Second

func startElector(t *testing.T, l *memlog.Log, n ident.NodeName) (e *leases.Elector, stop func()) {
	e = &leases.Elector{Log: l, Holder: claim.Holder{Node: n, Boot: 1}, Length: length, Ring: trace.NewRing(n, &trace.Clock{}, 100), Logger: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return e, stop
}

// holders returns how many of the electors may act now.
func holders(es ...*leases.Elector) (n int) {
	for _, e := range es {
		if _, _, ok := e.Held(); ok {
			n++
		}
	}
	return n
}

func TestOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		a, _ := startElector(t, l, "a")
		b, _ := startElector(t, l, "b")
		c, _ := startElector(t, l, "c")
		held, last := 0, ident.Offset(-1)
		for i := range 600 {
			time.Sleep(100 * time.Millisecond)
			if i%70 == 0 {
				l.LoseAnswers(2)
			}
			// The log is down for about 8 s of every 20 s.
			l.SetDown(i%200 > 120)
			n := holders(a, b, c)
			must.LessEq(t, 1, n)
			held += n
			for _, e := range []*leases.Elector{a, b, c} {
				if number, _, ok := e.Held(); ok {
					must.GreaterEq(t, last, number)
					last = number
				}
			}
		}
		// There was a holder in more than a third of the 600 steps.
		test.Greater(t, 200, held)
	})
}

func TestLeaseIsEndedOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		a, stopA := startElector(t, l, "a")
		time.Sleep(length)
		must.Eq(t, 1, holders(a))
		number, _, _ := a.Held()
		b, _ := startElector(t, l, "b")
		stopA()
		time.Sleep(length)
		must.Eq(t, 1, holders(b))
		next, _, _ := b.Held()
		test.Greater(t, number, next)
	})
}

func TestHolderStopsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		a, _ := startElector(t, l, "a")
		time.Sleep(length)
		must.Eq(t, 1, holders(a))
		l.SetDown(true)
		time.Sleep(length)
		test.Eq(t, 0, holders(a))
	})
}
