package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/lab/sizes"
)

// Result holds the results of the prompts of one kind.
type Result struct {
	Kind string
	// Requests counts all prompts and InTime those answered in time. Refused counts
	// prompts whose retry was refused too, or would have come after half of the
	// deadline. Failed counts answers that missed the deadline or had a pause of
	// more than eight times Gap and more than two seconds.
	Requests, InTime int
	Refused, Failed  int
	// LateFirst counts answers whose first event came late, LateGap the others
	// with a pause of more than Gap. Failed answers count in neither.
	LateFirst, LateGap int
	// MaxCredit is the credit if all prompts had been answered in time.
	MaxCredit, EarnedCredit float64
	// Sizes holds the results by size class.
	Sizes sizes.Results
	// MeanTimeToFirstEvent is counted from the arrival. MeanEstimateError is the
	// mean absolute error of the time to the first event that was estimated at
	// placement, counted from the latest attempt.
	MeanTimeToFirstEvent, MeanEstimateError time.Duration
}

// CreditRatio returns the earned credit as a fraction of the maximum credit.
func (r Result) CreditRatio() float64 { return r.EarnedCredit / max(r.MaxCredit, 1e-9) }

// Add adds the results b to a, which it changes, and returns the sum. Both have
// the same kinds; a may be nil. The mean times are added too, so that the caller
// has to divide them by the number of simulations.
func Add(a, b []Result) []Result {
	if a == nil {
		return b
	}
	for i := range a {
		a[i].Requests += b[i].Requests
		a[i].InTime += b[i].InTime
		a[i].Refused += b[i].Refused
		a[i].Failed += b[i].Failed
		a[i].LateFirst += b[i].LateFirst
		a[i].LateGap += b[i].LateGap
		a[i].Sizes.Add(b[i].Sizes)
		a[i].MaxCredit += b[i].MaxCredit
		a[i].EarnedCredit += b[i].EarnedCredit
		a[i].MeanTimeToFirstEvent += b[i].MeanTimeToFirstEvent
		a[i].MeanEstimateError += b[i].MeanEstimateError
	}
	return a
}

// served reports whether the whole answer came before the deadline, without a
// pause at which the caller leaves.
func (q *prompt) served() bool {
	return q.endedAt > 0 && q.endedAt-q.arrivedAt <= q.kind.Deadline && q.maxGap <= max(2*time.Second, 8*q.kind.Gap)
}

// computeResults adds the placed prompts to the results and computes the mean
// times.
func (s *simulation) computeResults() {
	for _, q := range s.placed {
		res := &s.results[q.kindIndex]
		first := q.firstEventAt - q.arrivedAt
		res.MeanTimeToFirstEvent += first
		res.MeanEstimateError += (q.firstEventAt - q.attemptAt - q.estimate).Abs()
		weight := q.creditWeight()
		switch {
		case !q.served():
			res.Failed++
		case first > q.kind.Target:
			res.LateFirst++
			res.EarnedCredit += q.kind.LateCredit * weight
		case q.maxGap > q.kind.Gap:
			res.LateGap++
			res.EarnedCredit += q.kind.LateCredit * weight
		default:
			res.InTime++
			res.EarnedCredit += q.kind.Credit * weight
		}
	}
	for i := range s.results {
		var rs []sizes.Request
		for _, q := range s.arrived[i] {
			rs = append(rs, sizes.Request{Prompt: q.tokens, Served: q.served()})
		}
		s.results[i].Sizes = sizes.CountRequests(rs)
		if n := time.Duration(s.results[i].Requests - s.results[i].Refused); n > 0 {
			s.results[i].MeanTimeToFirstEvent /= n
			s.results[i].MeanEstimateError /= n
		}
	}
}

// creditWeight returns the factor on the credit of a prompt. It grows with the
// prompt's size relative to the mean of its kind.
func (q *prompt) creditWeight() float64 { return min(4, 0.3+0.7*float64(q.tokens)/q.kind.MeanTokens) }
