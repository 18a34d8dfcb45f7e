package route

import "math/rand/v2"

// The policies in this file are baselines for experiments. Nodes use
// ByEstimate.

// RoundRobin chooses the candidates in turn.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (p *RoundRobin) Choose(s Source, r Request, _ *rand.Rand) (Choice, error) {
	cs := s.All()
	for range cs {
		p.next++
		i := p.next % len(cs)
		if cs[i].fits(r) {
			return newChoice(cs[i], i, r), nil
		}
	}
	return Choice{}, ErrNoEndpoint
}

// LeastRunning chooses the candidate with the fewest running requests.
type LeastRunning struct{}

// Choose implements Policy.
func (LeastRunning) Choose(s Source, r Request, _ *rand.Rand) (Choice, error) {
	cs := s.All()
	best := -1
	for i, c := range cs {
		if c.fits(r) && (best < 0 || c.Load.Running < cs[best].Load.Running) {
			best = i
		}
	}
	if best < 0 {
		return Choice{}, ErrNoEndpoint
	}
	return newChoice(cs[best], best, r), nil
}

// TwoChoices chooses the one of two random candidates with fewer running
// requests.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(s Source, r Request, rnd *rand.Rand) (Choice, error) {
	cs := s.All()
	fit := make([]int, 0, len(cs))
	for i, c := range cs {
		if c.fits(r) {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return Choice{}, ErrNoEndpoint
	}
	a, b := fit[rnd.IntN(len(fit))], fit[rnd.IntN(len(fit))]
	if cs[b].Load.Running < cs[a].Load.Running {
		a = b
	}
	return newChoice(cs[a], a, r), nil
}
