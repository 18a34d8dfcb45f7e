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
	// maxOpen bounds the requests in flight.
	maxOpen = 4000
	// textSize is the size of the text that prompts are cut from.
	textSize = 8 << 20
	// documents is the number of shared documents.
	documents = 20
	seedWord  = 0x6c6162
)

// Runner drives one load.
type Runner struct {
	Plan     Plan
	Balancer *Balancer
	// Progress is called now and then with the number of requests so far.
	Progress func(sent, ended int64)

	text        []byte
	start       time.Time
	results     results
	sent, ended atomic.Int64
	wg          sync.WaitGroup
	open        chan struct{}
}

// Run sends the load and waits for all answers.
func (r *Runner) Run(ctx context.Context) []Result {
	r.text = makeText(r.Plan.Seed)
	r.open = make(chan struct{}, maxOpen)
	r.start = time.Now()
	var arrivals sync.WaitGroup
	flows := []struct {
		rate float64
		send func(context.Context, *rand.Rand, int)
	}{
		{r.Plan.PromptRate, r.sendPrompt},
		{r.Plan.BookingRate, r.sendBooking},
		{r.Plan.StatusRate, r.sendStatus},
	}
	for i, f := range flows {
		if f.rate > 0 {
			arrivals.Go(func() { r.arrive(ctx, f.rate, uint64(i+1), f.send) })
		}
	}
	r.begin(ctx)
	stop := r.report()
	arrivals.Wait()
	r.wg.Wait()
	stop()
	return r.results.list
}

// begin sends the prompts of the start.
func (r *Runner) begin(ctx context.Context) {
	for i, l := range r.Plan.Begin {
		own := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)))
		r.sent.Add(1)
		r.wg.Go(func() {
			r.prompt(ctx, own, fmt.Sprintf("begin-%d", i), l)
			r.ended.Add(1)
		})
	}
}

func (r *Runner) report() (stop func()) {
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

// arrive sends requests at random times, whatever became of those before.
func (r *Runner) arrive(ctx context.Context, rate float64, flow uint64, send func(context.Context, *rand.Rand, int)) {
	rnd := rand.New(rand.NewPCG(r.Plan.Seed, seedWord+flow))
	at := r.start
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(r.start) > r.Plan.For {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		r.open <- struct{}{}
		r.sent.Add(1)
		own := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		r.wg.Go(func() {
			send(ctx, own, n)
			r.ended.Add(1)
			<-r.open
		})
	}
}

// makeText returns text that needs no escapes in JSON.
func makeText(seed uint64) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	rnd := rand.New(rand.NewPCG(seed, seedWord))
	b := make([]byte, textSize)
	for i := range b {
		b[i] = letters[rnd.IntN(len(letters))]
	}
	return b
}

// content returns the text of a prompt of n bytes. A shared one begins with a
// document that other prompts begin with too.
func (r *Runner) content(rnd *rand.Rand, id string, n int) []byte {
	out := make([]byte, 0, n+64)
	if rnd.IntN(100) < r.Plan.SharedPercent {
		doc := rnd.IntN(documents) * (textSize / 2 / documents)
		out = append(out, r.text[doc:doc+n/2]...)
		n -= n / 2
	}
	out = append(out, fmt.Sprintf(" request %s ", id)...)
	off := rnd.IntN(textSize - n)
	return append(out, r.text[off:off+n]...)
}
