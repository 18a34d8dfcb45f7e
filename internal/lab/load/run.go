package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxInFlight bounds the prompts, bookings and status checks in flight.
	// InitialPrompts don't count.
	maxInFlight = 4000
	// textBytes is the size of the text that prompts are taken from.
	textBytes = 8 << 20
	// documentCount is the number of documents that prompts share.
	documentCount = 20
	// textSeed is the second seed of the random source of the text. The sources
	// of the arrivals use textSeed+1 for prompts, textSeed+2 for bookings and
	// textSeed+3 for status checks.
	textSeed = 0x6c6162
)

// Runner sends the load of one plan.
type Runner struct {
	Plan     Plan
	Balancer *Balancer
	// Progress, if set, is called every 500 ms with the number of requests sent
	// and ended so far. A booking that is sent twice counts once.
	Progress func(sent, ended int64)

	text        []byte
	start       time.Time
	results     results
	sent, ended atomic.Int64
	// wg counts the requests in flight, including InitialPrompts.
	wg sync.WaitGroup
	// inFlight is a semaphore with room for maxInFlight requests.
	inFlight chan struct{}
}

// Run sends the load, waits until all requests have ended and returns their
// results.
func (r *Runner) Run(ctx context.Context) []Result {
	r.text = makeText(r.Plan.Seed)
	r.inFlight = make(chan struct{}, maxInFlight)
	r.start = time.Now()
	var senders sync.WaitGroup
	kinds := []struct {
		rate float64
		send func(context.Context, *rand.Rand, int)
	}{
		{r.Plan.PromptRate, r.sendPrompt},
		{r.Plan.BookingRate, r.sendBooking},
		{r.Plan.StatusRate, r.sendStatus},
	}
	for i, k := range kinds {
		if k.rate > 0 {
			senders.Go(func() { r.sendArrivals(ctx, k.rate, uint64(i+1), k.send) })
		}
	}
	r.sendInitialPrompts(ctx)
	stop := r.reportProgress()
	senders.Wait()
	r.wg.Wait()
	stop()
	return r.results.list
}

// sendInitialPrompts sends the initial prompts of the plan without waiting for
// the responses.
func (r *Runner) sendInitialPrompts(ctx context.Context) {
	for i, class := range r.Plan.InitialPrompts {
		rnd := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)))
		r.sent.Add(1)
		r.wg.Go(func() {
			r.streamPrompt(ctx, rnd, fmt.Sprintf("begin-%d", i), class)
			r.ended.Add(1)
		})
	}
}

func (r *Runner) reportProgress() (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(500 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				r.Progress(r.sent.Load(), r.ended.Load())
			}
		}
	}()
	return func() { close(done) }
}

// sendArrivals sends the requests of one kind at the random times of a Poisson
// process. A request doesn't wait for the response to an earlier one, unless
// maxInFlight is reached.
func (r *Runner) sendArrivals(ctx context.Context, rate float64, kindNumber uint64, send func(context.Context, *rand.Rand, int)) {
	rnd := rand.New(rand.NewPCG(r.Plan.Seed, textSeed+kindNumber))
	due := r.start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(r.start) > r.Plan.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		r.inFlight <- struct{}{}
		r.sent.Add(1)
		requestRand := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		r.wg.Go(func() {
			send(ctx, requestRand, n)
			r.ended.Add(1)
			<-r.inFlight
		})
	}
}

// makeText returns random text that needs no escaping in JSON.
func makeText(seed uint64) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	rnd := rand.New(rand.NewPCG(seed, textSeed))
	b := make([]byte, textBytes)
	for i := range b {
		b[i] = letters[rnd.IntN(len(letters))]
	}
	return b
}

// promptText returns n bytes of random text and the prompt's ID. For
// SharedPercent of the prompts, the first half is taken from a shared document
// and followed by the ID. Otherwise the ID comes first, so that the prompt shares
// almost no prefix with others.
func (r *Runner) promptText(rnd *rand.Rand, id string, n int) []byte {
	out := make([]byte, 0, n+64)
	if rnd.IntN(100) < r.Plan.SharedPercent {
		documentStart := rnd.IntN(documentCount) * (textBytes / 2 / documentCount)
		out = append(out, r.text[documentStart:documentStart+n/2]...)
		n -= n / 2
	}
	out = append(out, fmt.Sprintf(" request %s ", id)...)
	start := rnd.IntN(textBytes - n)
	return append(out, r.text[start:start+n]...)
}
