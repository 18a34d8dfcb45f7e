package passes

import (
	"container/heap"
	"math"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// scheduleArrivals draws the prompts of all phases and schedules their arrivals.
func (s *simulation) scheduleArrivals() {
	begin := time.Duration(0)
	for _, ph := range s.Phases {
		end := begin + ph.Duration
		for i := range s.Kinds {
			s.scheduleKind(i, begin, end, s.Kinds[i].Rate*ph.RateFactors[i])
		}
		begin = end
	}
}

// scheduleKind draws the prompts of the i-th kind that arrive between begin and end, and
// schedules their arrivals. They are a Poisson process with the given rate per second.
func (s *simulation) scheduleKind(i int, begin, end time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	k := &s.Kinds[i]
	at := begin
	for {
		at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return
		}
		s.promptCount++
		q := &prompt{
			kind: k, kindIndex: i, key: s.promptCount, arrivedAt: at, attemptAt: at, node: s.rnd.IntN(s.NodeCount),
			tokens: ident.Tokens(s.drawLogNormal(k.MeanTokens, k.TokenSigma, k.MaxTokens)),
		}
		s.arrived[i] = append(s.arrived[i], q)
		answerEvents := int(math.Ceil(s.drawLogNormal(k.MeanEvents, k.EventSigma, k.MaxEvents)))
		heap.Push(&s.events, simEvent{at: at, prompt: q, answerEvents: answerEvents})
	}
}

// drawLogNormal draws a number from the log-normal distribution with the given
// mean and sigma, and limits it to [1, limit].
func (s *simulation) drawLogNormal(mean, sigma, limit float64) float64 {
	mu := math.Log(mean) - sigma*sigma/2
	return max(1, min(limit, math.Exp(mu+sigma*s.rnd.NormFloat64())))
}
