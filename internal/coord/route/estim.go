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
	// openPercent of a long prompt's own prefill is what it rather waits
	// than start on an endpoint that serves only short ones.
	openPercent = 50
	// suspectCost keeps other requests away from an endpoint that runs one
	// which may crash it.
	suspectCost = 250 * time.Millisecond
	// memoryFactor is how much slower memory frees up than prefill goes.
	memoryFactor = 4
)

// Estimated chooses at random among the candidates whose estimated time to
// first token is near the best. Long requests prefer endpoints that already
// run long ones, so that others stay quick for short requests.
type Estimated struct{}

// Choose picks a candidate.
func (Estimated) Choose(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
	best := time.Duration(-1)
	costs := make([]time.Duration, len(cs))
	for i, c := range cs {
		costs[i] = -1
		if !c.fits(r) {
			continue
		}
		costs[i] = First(c, r) + opening(c, r) + risk(c, r)
		if best < 0 || costs[i] < best {
			best = costs[i]
		}
	}
	if best < 0 {
		return Choice{}, ErrNoEndpoint
	}
	bound := best + max(leastSlack, best*slackPercent/100)
	i := pick(costs, bound, rnd)
	return choice(cs, i, r), nil
}

// pick returns the index of a random cost within the bound.
func pick(costs []time.Duration, bound time.Duration, rnd *rand.Rand) int {
	n, at := 0, -1
	for i, c := range costs {
		if c < 0 || c > bound {
			continue
		}
		n++
		if rnd.IntN(n) == 0 {
			at = i
		}
	}
	return at
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
	s := max(c.View.Step, idleStep)
	if c.View.LongQueue > 0 {
		s = max(s, longStep)
	}
	return s
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

// opening is the cost of a long request to the short ones of an endpoint
// that has had none.
func opening(c Candidate, r Request) time.Duration {
	if r.Short || c.View.LongQueue > 0 {
		return 0
	}
	return span(r.Prompt, c.View.Rate) * openPercent / 100
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
