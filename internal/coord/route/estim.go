package route

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// longStep is the expected duration of an engine step that includes a long
	// prefill.
	longStep = 25 * time.Millisecond
	// idleStep is the expected duration of a step of an idle engine.
	idleStep = 5 * time.Millisecond
	// Candidates whose cost exceeds the lowest by at most minSlack, or by at most
	// slackPercent of it, count as equal to the best.
	minSlack     = 3 * time.Millisecond
	slackPercent = 15
	// A long request goes to an endpoint outside the long pool only if that
	// saves more time than longOutsidePoolCost plus outsidePoolPercent of its
	// own prefill. For a short request, only the percentage counts.
	longOutsidePoolCost = 3000 * time.Millisecond
	outsidePoolPercent  = 100
	// maxSamples is the maximum number of random samples that are compared for a
	// short request, at most one of them in the long pool.
	maxSamples = 4
	// maxProbes is the maximum number of random candidates that are examined to
	// find the samples.
	maxProbes = 24
	// suspectCost is the cost of an endpoint that runs a suspect request, which
	// may crash it.
	suspectCost = 250 * time.Millisecond
	// memoryFactor is the ratio of the prefill rate to the rate at which memory
	// becomes free.
	memoryFactor = 4
)

// ByEstimate chooses by the estimated time to the first token. Long requests
// stay in the long pool unless it is much slower. Short requests get the best
// of a few random endpoints, at most one of them in the pool: with random
// samples, nodes that have the same outdated reports don't all choose the same
// endpoint.
type ByEstimate struct{}

// Choose returns a candidate with a low estimate.
func (ByEstimate) Choose(s Source, r Request, rnd *rand.Rand) (Choice, error) {
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
	best, found, sampledPool := time.Duration(0), 0, false
	var choice Choice
	for probe := 0; probe < maxProbes && found < maxSamples && s.N > 0; probe++ {
		i := rnd.IntN(s.N)
		c := s.At(i)
		if !c.fits(r) || c.InLongPool && sampledPool {
			continue
		}
		sampledPool = sampledPool || c.InLongPool
		found++
		if sampleCost := cost(c, r); found == 1 || sampleCost < best {
			best, choice = sampleCost, newChoice(c, i, r)
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
	return EstimateFirstToken(c, r) + outsideLongPoolCost(c, r) + suspectPenalty(c, r)
}

func newChoice(c Candidate, i int, r Request) Choice {
	f := EstimateFirstToken(c, r)
	return Choice{Index: i, FirstToken: f, LastToken: f + decodeTime(c, r)}
}

// EstimateFirstToken estimates the time to the first token.
func EstimateFirstToken(c Candidate, r Request) time.Duration {
	uncached := max(1, r.Prompt-c.Cached)
	ahead := c.Load.ShortQueue
	if !r.Short {
		ahead += c.Load.LongQueue
	}
	return durationAt(ahead+uncached, c.Load.PrefillRate) + stepWait(c) + memoryWait(c, r)
}

// EstimateFirstTokenIdle estimates the time to the first token on an idle
// endpoint.
func EstimateFirstTokenIdle(c Candidate, r Request) time.Duration {
	return durationAt(r.Prompt, c.Load.PrefillRate) + idleStep
}

// stepWait estimates the wait for the step under way.
func stepWait(c Candidate) time.Duration {
	if c.Load.LongQueue > 0 {
		return longStep
	}
	return idleStep
}

// memoryWait estimates the wait until enough memory is free.
func memoryWait(c Candidate, r Request) time.Duration {
	free := c.Load.FreeMemory
	if !r.Short {
		free -= c.reservedMemory(r)
	}
	missing := r.requiredMemory() - free
	if missing <= 0 {
		return 0
	}
	return durationAt(missing, c.Load.PrefillRate) * memoryFactor
}

// outsideLongPoolCost returns the cost of a request outside the long pool,
// where it delays short requests.
func outsideLongPoolCost(c Candidate, r Request) time.Duration {
	if c.InLongPool {
		return 0
	}
	own := durationAt(r.Prompt, c.Load.PrefillRate) * outsidePoolPercent / 100
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
	return time.Duration(r.Output) * max(c.Load.StepTime, idleStep)
}

// durationAt returns the time that n tokens take at a rate in tokens per
// second.
func durationAt(n, rate ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(max(1, rate)) * float64(time.Second))
}
