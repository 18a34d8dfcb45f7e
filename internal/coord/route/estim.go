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
	// probes bounds the random endpoints that are looked at for samples.
	probes = 24
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
func (Estimated) Choose(s Source, r Request, rnd *rand.Rand) (Choice, error) {
	if r.Short {
		if c, ok := chooseShort(s, r, rnd); ok {
			return c, nil
		}
	}
	return chooseNear(s.All(), r, rnd)
}

// chooseShort takes the best of a few samples, one of them inside the long
// lane. It fails if few candidates fit.
func chooseShort(s Source, r Request, rnd *rand.Rand) (Choice, bool) {
	best, found, inside := time.Duration(0), 0, false
	var choice Choice
	for probe := 0; probe < probes && found < samples && s.N > 0; probe++ {
		i := rnd.IntN(s.N)
		c := s.At(i)
		if !c.fits(r) || c.Long && inside {
			continue
		}
		inside = inside || c.Long
		found++
		if k := cost(c, r); found == 1 || k < best {
			best, choice = k, chosen(c, i, r)
		}
	}
	return choice, found > 0
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

// chooseNear takes a random one of those near the best.
func chooseNear(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
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
	return chosen(cs[s.at], s.at, r), nil
}

// cost is the estimated time to first token with what the choice costs
// others.
func cost(c Candidate, r Request) time.Duration {
	return First(c, r) + opening(c, r) + risk(c, r)
}

func chosen(c Candidate, i int, r Request) Choice {
	f := First(c, r)
	return Choice{Index: i, First: f, Whole: f + decode(c, r)}
}

// First estimates the time to the first token.
func First(c Candidate, r Request) time.Duration {
	work := max(1, r.Prompt-c.Cached)
	ahead := c.View.ShortQueue
	if !r.Short {
		ahead += c.View.LongQueue
	}
	return span(ahead+work, c.View.PrefillRate) + step(c) + memoryWait(c, r)
}

// Alone estimates the time to the first token on an idle endpoint.
func Alone(c Candidate, r Request) time.Duration {
	return span(r.Prompt, c.View.PrefillRate) + idleStep
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
	free := c.View.FreeMemory
	if !r.Short {
		free -= c.reserve(r)
	}
	missing := r.need() - free
	if missing <= 0 {
		return 0
	}
	return span(missing, c.View.PrefillRate) * memoryFactor
}

// opening is the cost of a request to the shorter ones outside the lane.
func opening(c Candidate, r Request) time.Duration {
	if c.Long {
		return 0
	}
	own := span(r.Prompt, c.View.PrefillRate) * openPercent / 100
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
	return time.Duration(r.Output) * max(c.View.StepTime, idleStep)
}

func span(n, rate ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(max(1, rate)) * float64(time.Second))
}
