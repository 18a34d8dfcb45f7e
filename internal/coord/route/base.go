package route

import "math/rand/v2"

// The policies of this file are the baselines that Estimated is measured
// against.

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	next int
}

// Choose picks the next candidate that fits.
func (p *RoundRobin) Choose(s Source, r Request, _ *rand.Rand) (Choice, error) {
	cs := s.All()
	for range cs {
		p.next++
		i := p.next % len(cs)
		if cs[i].fits(r) {
			return chosen(cs[i], i, r), nil
		}
	}
	return Choice{}, ErrNoEndpoint
}

// LeastCalls takes the candidate with the fewest running requests.
type LeastCalls struct{}

// Choose picks the candidate with the fewest running requests.
func (LeastCalls) Choose(s Source, r Request, _ *rand.Rand) (Choice, error) {
	cs := s.All()
	at := -1
	for i, c := range cs {
		if c.fits(r) && (at < 0 || c.View.Running < cs[at].View.Running) {
			at = i
		}
	}
	if at < 0 {
		return Choice{}, ErrNoEndpoint
	}
	return chosen(cs[at], at, r), nil
}

// TwoChoices takes the less busy of two random candidates.
type TwoChoices struct{}

// Choose picks the less busy of two random candidates.
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
	if cs[b].View.Running < cs[a].View.Running {
		a = b
	}
	return chosen(cs[a], a, r), nil
}
