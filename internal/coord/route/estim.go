package route

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// longStep is the batch iteration to expect beside a long prefill.
	longStep = 25 * time.Millisecond
	// idleStep is the batch iteration to expect in an idle endpoint.
	idleStep = 5 * time.Millisecond
	// leastSlack is the difference of estimates that doesn't matter.
	leastSlack = 3 * time.Millisecond
	// slackPercent is the part of the best estimate that doesn't matter.
	slackPercent = 15
	// openCost and openPercent of a long prompt's own prefill is what it
	// rather waits than leave the long lane.
	openCost    = 3000 * time.Millisecond
	openPercent = 100
	// samples is the number of endpoints that a short request compares, one
	// of them inside the long lane.
	samples = 4
	// suspectCost keeps other requests away from an endpoint that runs one
	// which may crash it.
	suspectCost = 250 * time.Millisecond
	// memoryFactor is how much slower memory frees up than prefill goes.
	memoryFactor = 4
)

// Estimated chooses by the estimated time to first token. Long requests stay
// in the long lane unless it is much slower. Short ones take the best of a few
// random endpoints outside of it and one inside: a random choice stays good
// when many nodes share one stale report.
type Estimated struct{}

// Choose picks a candidate.
func (Estimated) Choose(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
	if r.Short {
		return chooseShort(cs, r, rnd)
	}
	return chooseLong(cs, r, rnd)
}

// chooseShort takes the best of a few samples.
func chooseShort(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
	best, at := time.Duration(-1), -1
	try := func(i int) {
		if c := cost(cs[i], r); at < 0 || c < best {
			best, at = c, i
		}
	}
	var some [samples]sample
	for i, c := range cs {
		if !c.fits(r) {
			continue
		}
		if c.Long {
			some[0].offer(i, rnd)
			continue
		}
		for j := range some[1:] {
			some[1+j].offer(i, rnd)
		}
	}
	for _, s := range some {
		if s.n > 0 {
			try(s.at)
		}
	}
	if at < 0 {
		return Choice{}, ErrNoEndpoint
	}
	return choice(cs, at, r), nil
}

// sample holds one of the values offered to it, each as likely.
type sample struct {
	n, at int
}

func (s *sample) offer(i int, rnd *rand.Rand) {
	s.n++
	if rnd.IntN(s.n) == 0 {
		s.at = i
	}
}

// chooseLong takes a random one of those near the best.
func chooseLong(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
	best := time.Duration(-1)
	costs := make([]time.Duration, len(cs))
	for i, c := range cs {
		costs[i] = -1
		if !c.fits(r) {
			continue
		}
		costs[i] = cost(c, r)
		if best < 0 || costs[i] < best {
			best = costs[i]
		}
	}
	if best < 0 {
		return Choice{}, ErrNoEndpoint
	}
	bound := best + max(leastSlack, best*slackPercent/100)
	var s sample
	for i, c := range costs {
		if c >= 0 && c <= bound {
			s.offer(i, rnd)
		}
	}
	return choice(cs, s.at, r), nil
}

// cost is the estimated time to first token with what the choice costs
// others.
func cost(c Candidate, r Request) time.Duration {
	return First(c, r) + opening(c, r) + risk(c, r)
}

func choice(cs []Candidate, i int, r Request) Choice {
	f := First(cs[i], r)
	return Choice{Index: i, First: f, Whole: f + decode(cs[i], r)}
}

// First estimates the time to the first token.
func First(c Candidate, r Request) time.Duration {
	work := max(1, r.Prompt-c.Cached)
	ahead := c.View.ShortQueue
	if !r.Short {
		ahead += c.View.LongQueue
	}
	return span(ahead+work, c.View.Rate) + step(c) + memoryWait(c, r)
}

// Alone estimates the time to the first token on an idle endpoint.
func Alone(c Candidate, r Request) time.Duration {
	return span(r.Prompt, c.View.Rate) + idleStep
}

// step is the wait for the iteration under way.
func step(c Candidate) time.Duration {
	if c.View.LongQueue > 0 {
		return longStep
	}
	return idleStep
}

// memoryWait estimates the wait until enough memory is free.
func memoryWait(c Candidate, r Request) time.Duration {
	free := c.View.Free
	if !r.Short {
		free -= c.reserve(r)
	}
	missing := r.need() - free
	if missing <= 0 {
		return 0
	}
	return span(missing, c.View.Rate) * memoryFactor
}

// opening is the cost of a request to the shorter ones outside the lane.
func opening(c Candidate, r Request) time.Duration {
	if c.Long {
		return 0
	}
	own := span(r.Prompt, c.View.Rate) * openPercent / 100
	if r.Short {
		return own
	}
	return own + openCost
}

// risk is the cost of sharing an endpoint with a suspect.
func risk(c Candidate, r Request) time.Duration {
	if r.Suspect || c.Suspects == 0 {
		return 0
	}
	return suspectCost
}

func decode(c Candidate, r Request) time.Duration {
	return time.Duration(r.Output) * max(c.View.Step, idleStep)
}

func span(n, rate ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(max(1, rate)) * float64(time.Second))
}
