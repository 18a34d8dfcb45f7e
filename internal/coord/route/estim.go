package route

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// longStep is the expected time of a batch iteration that includes a long
	// prefill.
	longStep = 25 * time.Millisecond
	// idleStep is the expected time of a batch iteration of an idle endpoint.
	idleStep = 5 * time.Millisecond
	// minSlack is the difference between two estimates that is ignored.
	minSlack = 3 * time.Millisecond
	// slackPercent is the difference that is ignored, in percent of the best
	// estimate.
	slackPercent = 15
	// A long request goes to an endpoint outside the long pool only if that
	// saves more time than longOutsidePoolCost plus outsidePoolPercent of its
	// own prefill. Short requests count the percentage only.
	longOutsidePoolCost = 3000 * time.Millisecond
	outsidePoolPercent  = 100
	// maxSamples is the number of endpoints compared for a short request, at
	// most one of them in the long pool.
	maxSamples = 4
	// maxProbes bounds the random endpoints that are looked at to find the
	// samples.
	maxProbes = 24
	// suspectCost keeps other requests away from an endpoint that runs a request
	// which may crash it.
	suspectCost = 250 * time.Millisecond
	// memoryFactor is the ratio of the prefill rate to the rate at which memory
	// becomes free.
	memoryFactor = 4
)

// Estimated chooses by the estimated time to the first token. Long requests stay
// in the long pool unless it is much slower. Short requests get the best of a
// few random endpoints, at most one of them in the pool: a random choice stays
// good when many nodes decide on the same stale report.
type Estimated struct{}

// Choose returns a candidate with a low estimate.
func (Estimated) Choose(s Source, r Request, rnd *rand.Rand) (Choice, error) {
	if r.Short {
		if c, ok := chooseShort(s, r, rnd); ok {
			return c, nil
		}
	}
	return chooseNearBest(s.All(), r, rnd)
}

// chooseShort returns the best of a few random samples, at most one of them in
// the long pool. It reports false if no probe found a candidate that fits.
func chooseShort(s Source, r Request, rnd *rand.Rand) (Choice, bool) {
	best, found, inside := time.Duration(0), 0, false
	var choice Choice
	for probe := 0; probe < maxProbes && found < maxSamples && s.N > 0; probe++ {
		i := rnd.IntN(s.N)
		c := s.At(i)
		if !c.fits(r) || c.InLongPool && inside {
			continue
		}
		inside = inside || c.InLongPool
		found++
		if k := cost(c, r); found == 1 || k < best {
			best, choice = k, newChoice(c, i, r)
		}
	}
	return choice, found > 0
}

// reservoir picks one of the offered values at random, each with the same
// probability.
type reservoir struct {
	offered, picked int
}

func (s *reservoir) offer(i int, rnd *rand.Rand) {
	s.offered++
	if rnd.IntN(s.offered) == 0 {
		s.picked = i
	}
}

// chooseNearBest returns a random one of the candidates that are nearly as good
// as the best.
func chooseNearBest(cs []Candidate, r Request, rnd *rand.Rand) (Choice, error) {
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
	bound := best + max(minSlack, best*slackPercent/100)
	var s reservoir
	for i, c := range costs {
		if c >= 0 && c <= bound {
			s.offer(i, rnd)
		}
	}
	return newChoice(cs[s.picked], s.picked, r), nil
}

// cost returns the estimated time to the first token plus the cost of the choice
// to other requests, expressed as time.
func cost(c Candidate, r Request) time.Duration {
	return EstimateFirstToken(c, r) + outsidePoolCost(c, r) + suspectPenalty(c, r)
}

func newChoice(c Candidate, i int, r Request) Choice {
	f := EstimateFirstToken(c, r)
	return Choice{Index: i, FirstToken: f, LastToken: f + decodeTime(c, r)}
}

// EstimateFirstToken estimates the time to the first token.
func EstimateFirstToken(c Candidate, r Request) time.Duration {
	work := max(1, r.Prompt-c.Cached)
	ahead := c.View.ShortQueue
	if !r.Short {
		ahead += c.View.LongQueue
	}
	return timeFor(ahead+work, c.View.PrefillRate) + stepWait(c) + memoryWait(c, r)
}

// EstimateFirstTokenIdle estimates the time to the first token on an idle
// endpoint.
func EstimateFirstTokenIdle(c Candidate, r Request) time.Duration {
	return timeFor(r.Prompt, c.View.PrefillRate) + idleStep
}

// stepWait estimates the wait for the batch iteration under way.
func stepWait(c Candidate) time.Duration {
	if c.View.LongQueue > 0 {
		return longStep
	}
	return idleStep
}

// memoryWait estimates the wait until enough memory is free.
func memoryWait(c Candidate, r Request) time.Duration {
	free := c.View.FreeMemory
	if !r.Short {
		free -= c.reservedMemory(r)
	}
	missing := r.need() - free
	if missing <= 0 {
		return 0
	}
	return timeFor(missing, c.View.PrefillRate) * memoryFactor
}

// outsidePoolCost returns the cost of a request outside the long pool, where it
// delays short requests.
func outsidePoolCost(c Candidate, r Request) time.Duration {
	if c.InLongPool {
		return 0
	}
	own := timeFor(r.Prompt, c.View.PrefillRate) * outsidePoolPercent / 100
	if r.Short {
		return own
	}
	return own + longOutsidePoolCost
}

// suspectPenalty returns the cost of sharing an endpoint with a suspect request.
func suspectPenalty(c Candidate, r Request) time.Duration {
	if r.Suspect || c.Suspects == 0 {
		return 0
	}
	return suspectCost
}

func decodeTime(c Candidate, r Request) time.Duration {
	return time.Duration(r.Output) * max(c.View.StepTime, idleStep)
}

func timeFor(n, rate ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(max(1, rate)) * float64(time.Second))
}
